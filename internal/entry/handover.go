package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/catalog"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/idempotency"
	"github.com/saffronpulley/saffronpulley/internal/store"
)

const (
	sealTimeout  = time.Second
	closeTimeout = 3 * time.Second
)

// moveSlots closes slots, waits for their requests to end, sends their keys to the next owner and then passes on the
// ownership; if it fails, the slots are reopened.
func (k *keyOwner) moveSlots(ctx context.Context, owners idempotency.Owners, slots []int, to string) {
	address, ok := owners.Address(to)
	if !ok {
		return
	}
	if err := k.tryMoveSlots(ctx, slots, to, address); err != nil {
		k.entry.Logger.Warn("cannot hand keys over to %s: %v", to, err)
		for _, slot := range slots {
			k.keys.Reopen(slot)
		}
	}
}

func (k *keyOwner) tryMoveSlots(ctx context.Context, slots []int, to, address string) error {
	if err := k.closeSlots(ctx, slots); err != nil {
		return err
	}
	var message control.Handover
	for _, slot := range slots {
		message.Slots = append(message.Slots, control.HandoverSlot{Slot: slot, Keys: encodeKeyResults(k.keys.Export(slot))})
	}
	if err := k.post(address, control.PathHandover, message, nil); err != nil {
		return err
	}
	_, err := k.document.Update(ctx, func(o idempotency.Owners) (idempotency.Owners, bool, error) {
		next, changed := o, false
		for _, slot := range slots {
			if o.Owner(slot).Entry() != k.member {
				continue
			}
			moved, err := next.Transfer(slot, k.member, to)
			if err != nil {
				return o, false, err
			}
			next, changed = moved, true
		}
		return next, changed, nil
	})
	if err != nil {
		return err
	}
	for _, slot := range slots {
		k.keys.Drop(slot)
	}
	return nil
}

// closeSlots closes the slots and waits until none of their requests runs.
func (k *keyOwner) closeSlots(ctx context.Context, slots []int) error {
	end := time.Now().Add(closeTimeout)
	for time.Now().Before(end) {
		running := 0
		for _, slot := range slots {
			running += k.keys.Close(slot)
		}
		if running == 0 {
			return nil
		}
		store.Pause(ctx, drainPollInterval)
	}
	return fault.New(fault.Unavailable, "requests with these keys are still running")
}

func encodeKeyResults(results []idempotency.KeyResult) []control.HandoverKey {
	wires := make([]control.HandoverKey, 0, len(results))
	for _, result := range results {
		w := control.HandoverKey{Key: result.Key()}
		if a := result.Answer(); a != nil {
			w.HasAnswer, w.Status, w.ContentType, w.Body = true, a.Status(), a.ContentType(), a.Body()
		}
		wires = append(wires, w)
	}
	return wires
}

func decodeKeyResults(wires []control.HandoverKey) []idempotency.KeyResult {
	results := make([]idempotency.KeyResult, 0, len(wires))
	for _, w := range wires {
		var answer *idempotency.Answer
		if w.HasAnswer {
			answer = idempotency.NewAnswer(w.Status, w.ContentType, w.Body)
		}
		results = append(results, idempotency.NewKeyResult(w.Key, answer))
	}
	return results
}

// takeFromFailed makes each agent reject the failed owner and report the keys that it ran, and then owns the slots.
//
// If an agent cannot be reached, keys that it may have run have an unknown outcome.
func (k *keyOwner) takeFromFailed(owners idempotency.Owners, slots []int, now time.Time) {
	seal := control.Seal{Slots: slots}
	for _, slot := range slots {
		seal.Epochs = append(seal.Epochs, owners.Owner(slot).Epoch())
	}
	var mu sync.Mutex
	ran := make(map[int][]string)
	var unknownUntil time.Time
	if vanishedAt := k.entry.catalog.LastVanished(); !vanishedAt.IsZero() {
		unknownUntil = vanishedAt.Add(idempotency.Retention)
	}
	var seals sync.WaitGroup
	for _, endpoint := range k.entry.catalog.AgentEndpoints() {
		seals.Go(func() {
			answer, err := k.seal(endpoint, seal)
			mu.Lock()
			defer mu.Unlock()
			unknownUntil = later(unknownUntil, unknownUntilOf(answer, err, now))
			for _, key := range answer.Keys {
				slot := slotOfKey(key)
				ran[slot] = append(ran[slot], key)
			}
		})
	}
	seals.Wait()
	for _, slot := range slots {
		k.keys.Own(slot, owners.Owner(slot).Epoch(), ran[slot], unknownUntil, now)
	}
	k.entry.Logger.Info("took over %d key slots of failed owners; outcomes of earlier keys are unknown until %s", len(slots), unknownUntil.Format(time.TimeOnly))
}

// unknownUntilOf returns until when the outcome of keys is unknown because an agent did not answer or has lost earlier
// records in a restart.
func unknownUntilOf(answer control.SealAnswer, err error, now time.Time) time.Time {
	if err != nil {
		return now.Add(idempotency.Retention)
	}
	uptime := time.Duration(answer.UptimeMillis) * time.Millisecond
	if answer.NoEarlierStart || uptime >= idempotency.Retention {
		return time.Time{}
	}
	return now.Add(idempotency.Retention - uptime)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (k *keyOwner) seal(endpoint *catalog.Endpoint, seal control.Seal) (control.SealAnswer, error) {
	var answer control.SealAnswer
	body, err := json.Marshal(seal)
	if err != nil {
		return answer, fault.Wrap(err, fault.Internal, "cannot encode the seal")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + endpoint.Address() + control.PathSeal)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(control.HeaderSecret, k.entry.Secret)
	req.SetBody(body)
	if err := endpoint.Client().DoTimeout(req, resp, sealTimeout); err != nil {
		return answer, fault.Wrap(err, fault.Unavailable, "the agent cannot be reached")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answer, fault.New(fault.Unavailable, "the agent refused the seal with status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return answer, fault.Wrap(err, fault.Internal, "the agent's answer cannot be read")
	}
	if answer.Boot != endpoint.Boot() && !answer.NoEarlierStart {
		return answer, fault.New(fault.Unavailable, "the agent has restarted")
	}
	return answer, nil
}

// slotOfKey returns the slot of a key in the form of request.storedKey.
func slotOfKey(storedKey string) int {
	service, key, _ := strings.Cut(storedKey, " ")
	return idempotency.SlotOf(service, key)
}
