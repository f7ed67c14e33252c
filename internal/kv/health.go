package kv

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// downAfter is how many consecutive calls without an answer make the store count as down: the first may have used an unresponsive
// connection, the next uses a new one.
const downAfter = 2

// rateWindow is the window over which the store counts calls. Rejections for longer than this are not due to the rate of all processes:
// the store rejects only this one.
const rateWindow = time.Second

// Health tracks whether the store answers this process, by the results of all its calls.
type Health struct {
	mu sync.Mutex
	// failures counts the calls since the last answer, lastAnswer is when that answer arrived, failingSince when the first of the
	// failures was recorded.
	failures     int
	lastAnswer   time.Time
	failingSince time.Time
	// unanswered counts the failures that were not rejections by the rate limit.
	unanswered int
	// limited is when the first of the failures was recorded if all of them were rejections by the rate limit, else zero.
	limited time.Time
	// lastLimited is when the latest rejection by the rate limit was recorded, zero once a later call was answered; readmitted is when it was.
	lastLimited time.Time
	readmitted  time.Time
}

// Record records the result of a call sent at a given time.
func (h *Health) Record(sentAt time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case isAnswer(err):
		h.lastAnswer, h.failures, h.unanswered, h.failingSince, h.limited = time.Now(), 0, 0, time.Time{}, time.Time{}
		h.recordReadmission(sentAt)
	case sentAt.Before(h.lastAnswer):
		// A call that hung on an older connection says nothing about the current state of the store.
	default:
		if h.failures == 0 {
			h.failingSince = time.Now()
		}
		h.failures++
		h.recordLimit(err)
	}
}

// recordLimit records whether the latest failure and all failures so far were rejections by the rate limit; h.mu is held.
func (h *Health) recordLimit(err error) {
	switch {
	case !fault.Is(err, fault.Overloaded):
		h.unanswered++
		h.limited = time.Time{}
		return
	case h.failures == 1:
		h.limited = h.failingSince
	}
	h.lastLimited = time.Now()
}

// recordReadmission records the answer to a call if the store had rate limited the process before that call; h.mu is held. The answer to a watch that
// was sent earlier does not show that the store accepts calls again.
func (h *Health) recordReadmission(sentAt time.Time) {
	if !h.lastLimited.IsZero() && !sentAt.Before(h.lastLimited) {
		h.lastLimited, h.readmitted = time.Time{}, time.Now()
	}
}

// Limited reports whether the store is rate limiting calls; callers slow down then but do not treat the store as down.
func (h *Health) Limited() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isLimited()
}

func (h *Health) isLimited() bool { return !h.limited.IsZero() && time.Since(h.limited) < rateWindow }

// MarkRejected records that the store answered another process right after it had rate limited this one: the store counts as down until
// it answers this process again.
func (h *Health) MarkRejected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isLimited() {
		h.failures, h.limited = max(h.failures, downAfter), time.Time{}
	}
}

// Down reports whether the store does not answer, or rejects this process.
func (h *Health) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= downAfter && !h.isLimited()
}

// Failures returns the number of consecutive calls that were rejected or got no answer.
func (h *Health) Failures() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures
}

// Unanswered returns the number of failures that were not rejections by the rate limit.
func (h *Health) Unanswered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unanswered
}

// Readmitted reports whether the store has answered this process within the last rate window after it had rate limited it. That shows that the
// limit was due to the rate of all processes: a process that the store rejects is not answered.
func (h *Health) Readmitted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.readmitted.IsZero() && time.Since(h.readmitted) < rateWindow
}

// LastAnswer returns when the latest answer arrived, zero before the first.
func (h *Health) LastAnswer() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastAnswer
}

// FailingSince returns since when no call was answered, zero while calls are.
func (h *Health) FailingSince() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failingSince
}

// isAnswer reports whether the result of a call shows that the store works for this process.
func isAnswer(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Overloaded, fault.OutcomeUnknown, fault.DeadlineExceeded:
		return false
	default:
		return true
	}
}
