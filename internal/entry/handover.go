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

// hand closes slots, lets their requests end, gives their keys to the next owner and then the slots themselves.
func (k *keyring) hand(ctx context.Context, owners idempotency.Owners, slots []int, to string) {
	address, ok := owners.Address(to)
	if !ok {
		return
	}
	if err := k.tryHand(ctx, slots, to, address); err != nil {
		k.entry.Logger.Warn("cannot hand keys to %s: %v", to, err)
		for _, slot := range slots {
			k.keys.Reopen(slot)
		}
	}
}

func (k *keyring) tryHand(ctx context.Context, slots []int, to, address string) error {
	if err := k.closeSlots(ctx, slots); err != nil {
		return err
	}
	var message control.Handover
	for _, slot := range slots {
		message.Slots = append(message.Slots, control.HandoverSlot{Slot: slot, Keys: encodeKept(k.keys.Export(slot))})
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
			handed, err := next.Transfer(slot, k.member, to)
			if err != nil {
				return o, false, err
			}
			next, changed = handed, true
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

// closeSlots waits until no request of the slots runs.
func (k *keyring) closeSlots(ctx context.Context, slots []int) error {
	end := time.Now().Add(closeTimeout)
	for time.Now().Before(end) {
		running := 0
		for _, slot := range slots {
			running += k.keys.Close(slot)
		}
		if running == 0 {
			return nil
		}
		store.Pause(ctx, drainPoll)
	}
	return fault.New(fault.Unavailable, "requests of the keys still run")
}

func encodeKept(kept []idempotency.KeyResult) []control.HandoverKey {
	wires := make([]control.HandoverKey, 0, len(kept))
	for _, h := range kept {
		w := control.HandoverKey{Key: h.Key()}
		if a := h.Answer(); a != nil {
			w.HasAnswer, w.Status, w.ContentType, w.Body = true, a.Status(), a.ContentType(), a.Body()
		}
		wires = append(wires, w)
	}
	return wires
}

func decodeKept(wires []control.HandoverKey) []idempotency.KeyResult {
	kept := make([]idempotency.KeyResult, 0, len(wires))
	for _, w := range wires {
		var answer *idempotency.Answer
		if w.HasAnswer {
			answer = idempotency.NewAnswer(w.Status, w.ContentType, w.Body)
		}
		kept = append(kept, idempotency.NewKeyResult(w.Key, answer))
	}
	return kept
}

// takeDoubtful asks every agent to refuse the dead owner and to say which keys it ran, and then owns the slots.
//
// What an agent that cannot be asked may have run stays in doubt.
func (k *keyring) takeDoubtful(owners idempotency.Owners, slots []int, now time.Time) {
	seal := control.Seal{Slots: slots}
	for _, slot := range slots {
		seal.Epochs = append(seal.Epochs, owners.Owner(slot).Epoch())
	}
	var mu sync.Mutex
	ran := make(map[int][]string)
	var doubtUntil time.Time
	if lost := k.entry.catalog.LastVanished(); !lost.IsZero() {
		doubtUntil = lost.Add(idempotency.Retention)
	}
	var asked sync.WaitGroup
	for _, endpoint := range k.entry.catalog.AgentEndpoints() {
		asked.Go(func() {
			answer, err := k.seal(endpoint, seal)
			mu.Lock()
			defer mu.Unlock()
			doubtUntil = later(doubtUntil, doubtOf(answer, err, now))
			for _, key := range answer.Keys {
				slot := slotOfKey(key)
				ran[slot] = append(ran[slot], key)
			}
		})
	}
	asked.Wait()
	for _, slot := range slots {
		k.keys.Own(slot, owners.Owner(slot).Epoch(), ran[slot], doubtUntil, now)
	}
	k.entry.Logger.Info("took %d slots of keys over; in doubt until %s", len(slots), doubtUntil.Format(time.TimeOnly))
}

// doubtOf is until when keys stay in doubt for an agent's sake.
func doubtOf(answer control.SealAnswer, err error, now time.Time) time.Time {
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

func (k *keyring) seal(endpoint *catalog.Endpoint, seal control.Seal) (control.SealAnswer, error) {
	var answer control.SealAnswer
	body, err := json.Marshal(seal)
	if err != nil {
		return answer, fault.Wrap(err, fault.Internal, "cannot encode the seal")
	}
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	out.SetRequestURI("http://" + endpoint.Address() + control.PathSeal)
	out.Header.SetMethod(fasthttp.MethodPost)
	out.Header.Set(control.HeaderSecret, k.entry.Secret)
	out.SetBody(body)
	if err := endpoint.Client().DoTimeout(out, in, sealTimeout); err != nil {
		return answer, fault.Wrap(err, fault.Unavailable, "the agent cannot be asked")
	}
	if in.StatusCode() != fasthttp.StatusOK {
		return answer, fault.New(fault.Unavailable, "the agent refused with status %d", in.StatusCode())
	}
	if err := json.Unmarshal(in.Body(), &answer); err != nil {
		return answer, fault.Wrap(err, fault.Internal, "the agent's answer cannot be read")
	}
	if answer.Boot != endpoint.Boot() && !answer.NoEarlierStart {
		return answer, fault.New(fault.Unavailable, "the agent was started anew")
	}
	return answer, nil
}

// slotOfKey returns the slot of a key as it is remembered.
func slotOfKey(keyed string) int {
	service, key, _ := strings.Cut(keyed, " ")
	return idempotency.SlotOf(service, key)
}
