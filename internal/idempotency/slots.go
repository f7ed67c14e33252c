package idempotency

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Own makes the process the owner of a slot under an epoch, with the keys that are known to have run under earlier owners.
//
// Until unknownUntil, other keys may have run too, and Begin returns OutcomeUnknown for them.
func (k *Keys) Own(slot int, epoch uint64, ran []string, unknownUntil, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if ok && s.epoch >= epoch {
		return
	}
	k.slots[slot] = &slotState{epoch: epoch, ready: true, unknownUntil: unknownUntil}
	for _, key := range ran {
		if _, known := k.calls[key]; known {
			continue
		}
		k.addFinished(key, &call{slot: slot, startedAt: now, err: fault.New(fault.OutcomeUnknown, "an earlier owner of the key admitted the request")})
	}
}

// addFinished adds a finished call; k.mu is held.
func (k *Keys) addFinished(key string, c *call) {
	c.done = make(chan struct{})
	close(c.done)
	k.calls[key] = c
	k.order = append(k.order, key)
	if c.answer != nil {
		k.bytes += len(c.answer.body)
	}
}

// Owns reports whether the process owns a slot and accepts its keys, and returns the epoch.
func (k *Keys) Owns(slot int) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok || !s.ready {
		return 0, false
	}
	return s.epoch, true
}

// Close stops a slot from accepting new keys, and returns the number of its running requests.
func (k *Keys) Close(slot int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok {
		return 0
	}
	s.ready = false
	return s.running
}

// Reopen lets a closed slot accept keys again after a failed handover.
func (k *Keys) Reopen(slot int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, ok := k.slots[slot]; ok {
		s.ready = true
	}
}

// Drop gives up a slot and removes its finished calls.
func (k *Keys) Drop(slot int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.slots, slot)
	for key, c := range k.calls {
		if c.slot == slot && isClosed(c.done) {
			k.dropAnswer(c)
			delete(k.calls, key)
		}
	}
}

// KeyResult is a key whose request ran, with the answer if it is still kept, for the handover to the next owner.
type KeyResult struct {
	key    string
	answer *Answer
}

// NewKeyResult returns the result of a key; the answer is nil if it is not kept.
func NewKeyResult(key string, answer *Answer) KeyResult { return KeyResult{key: key, answer: answer} }

// Key returns the caller's key.
func (k KeyResult) Key() string { return k.key }

// Answer returns the answer, nil if it is not kept.
func (k KeyResult) Answer() *Answer { return k.answer }

// Export returns the keys of a closed slot, with answers of at most maxExportedAnswer bytes.
func (k *Keys) Export(slot int) []KeyResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	var results []KeyResult
	for key, c := range k.calls {
		if c.slot != slot {
			continue
		}
		answer := c.answer
		if answer != nil && len(answer.body) > maxExportedAnswer {
			answer = nil
		}
		results = append(results, NewKeyResult(key, answer))
	}
	return results
}

// Import adds the results that an earlier owner of a slot has handed over, before the process owns the slot.
func (k *Keys) Import(slot int, results []KeyResult, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range results {
		if _, known := k.calls[r.key]; known {
			continue
		}
		c := &call{slot: slot, startedAt: now, answer: r.answer}
		if r.answer == nil {
			c.err = fault.New(fault.OutcomeUnknown, "an earlier owner of the key admitted the request")
		}
		k.addFinished(r.key, c)
	}
}
