package idempotency

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Own makes the process the owner of a slot under an epoch, with the keys that are known to have run before.
//
// Until doubtUntil a key that is not known may have run too, and is answered so.
func (k *Keys) Own(slot int, epoch uint64, ran []string, doubtUntil, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if ok && s.epoch >= epoch {
		return
	}
	k.slots[slot] = &slotState{epoch: epoch, ready: true, unknownUntil: doubtUntil}
	for _, key := range ran {
		if _, known := k.calls[key]; known {
			continue
		}
		k.addFinished(key, &call{slot: slot, startedAt: now, err: fault.New(fault.OutcomeUnknown, "an earlier owner of the key let the request run")})
	}
}

// addFinished keeps a call that has ended; k.mu is held.
func (k *Keys) addFinished(key string, c *call) {
	c.done = make(chan struct{})
	close(c.done)
	k.calls[key] = c
	k.order = append(k.order, key)
	if c.answer != nil {
		k.bytes += len(c.answer.body)
	}
}

// Owns reports whether the process serves a slot, and under which epoch.
func (k *Keys) Owns(slot int) (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.slots[slot]
	if !ok || !s.ready {
		return 0, false
	}
	return s.epoch, true
}

// Close stops a slot from taking new keys, and returns how many requests of it still run.
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

// Reopen lets a closed slot take keys again, after a handover that failed.
func (k *Keys) Reopen(slot int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, ok := k.slots[slot]; ok {
		s.ready = true
	}
}

// Drop gives a slot up.
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

// KeyResult is a key that ran, as it is handed to the next owner; a nil answer is one that is not kept.
type KeyResult struct {
	key    string
	answer *Answer
}

// NewKeyResult returns a key that ran with its answer, nil for one that is not kept.
func NewKeyResult(key string, answer *Answer) KeyResult { return KeyResult{key: key, answer: answer} }

// Key returns the caller's key.
func (k KeyResult) Key() string { return k.key }

// Answer returns the answer, nil for one that is not kept.
func (k KeyResult) Answer() *Answer { return k.answer }

// Export returns the keys of a closed slot that ran; small answers go along.
func (k *Keys) Export(slot int) []KeyResult {
	k.mu.Lock()
	defer k.mu.Unlock()
	var kept []KeyResult
	for key, c := range k.calls {
		if c.slot != slot {
			continue
		}
		answer := c.answer
		if answer != nil && len(answer.body) > maxExportedAnswer {
			answer = nil
		}
		kept = append(kept, NewKeyResult(key, answer))
	}
	return kept
}

// Import keeps what an earlier owner of a slot handed over, before the slot is owned.
func (k *Keys) Import(slot int, handed []KeyResult, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range handed {
		if _, known := k.calls[h.key]; known {
			continue
		}
		c := &call{slot: slot, startedAt: now, answer: h.answer}
		if h.answer == nil {
			c.err = fault.New(fault.OutcomeUnknown, "an earlier owner of the key let the request run")
		}
		k.addFinished(h.key, c)
	}
}
