package kv

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// downAfter is how many calls in a row without an answer make the store count as away: one may have gone by a connection that
// was silent, the next goes by a new one.
const downAfter = 2

// rateWindow is the time over which the store counts calls: a refusal that lasts longer is not for the rate of all processes, but turns this one
// away.
const rateWindow = time.Second

// Health is what a process knows of its own way to the store, by all its calls.
type Health struct {
	mu sync.Mutex
	// failures counts the calls since the last that was answered, answered is when that answer came, failing when the first
	// of the failures was noticed.
	failures int
	answered time.Time
	failing  time.Time
	// limited is when the first of the failures was noticed where all of them are refusals for the rate, else zero.
	limited time.Time
}

// Record takes note of how a call ended that was made at a time.
func (h *Health) Record(asked time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case serves(err):
		h.answered, h.failures, h.failing, h.limited = time.Now(), 0, time.Time{}, time.Time{}
	case asked.Before(h.answered):
		// What hung on an older connection says nothing about the store of now.
	default:
		if h.failures == 0 {
			h.failing = time.Now()
		}
		h.failures++
		h.noteLimit(err)
	}
}

// noteLimit records whether all failures so far were refusals for the rate; h is locked.
func (h *Health) noteLimit(err error) {
	switch {
	case !fault.Is(err, fault.Overloaded):
		h.limited = time.Time{}
	case h.failures == 1:
		h.limited = h.failing
	}
}

// Limited reports whether the store answers that too many calls are made: callers slow down, and none is refused for it.
func (h *Health) Limited() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLimited()
}

func (h *Health) isLimited() bool { return !h.limited.IsZero() && time.Since(h.limited) < rateWindow }

// MarkRejected records that the store answered another process right after it had refused this one for the rate: it counts as away until it
// answers this one again.
func (h *Health) MarkRejected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isLimited() {
		h.failures, h.limited = max(h.failures, downAfter), time.Time{}
	}
}

// Down reports whether the store does not answer, or turns this process away.
func (h *Health) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= downAfter && !h.isLimited()
}

// Failures returns how many calls in a row were refused or went without an answer.
func (h *Health) Failures() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures
}

// LastAnswer returns when the latest answer came, zero before the first.
func (h *Health) LastAnswer() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered
}

// FailingSince returns since when no call was answered, zero while they are.
func (h *Health) FailingSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing
}

// serves reports whether a call's end shows a store that works for this process.
func serves(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Overloaded, fault.OutcomeUnknown, fault.DeadlineExceeded:
		return false
	default:
		return true
	}
}
