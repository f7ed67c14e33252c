package kv

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

func TestStoreIsDownAfterTwoCallsWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		noAnswer := fault.New(fault.OutcomeUnknown, "no answer")
		h.Record(time.Now(), noAnswer)
		assert.Assert(t, !h.Down(), "the call may have used an unresponsive connection")
		first := h.FailingSince()
		time.Sleep(time.Second)
		h.Record(time.Now(), noAnswer)
		assert.Assert(t, h.Down())
		assert.Equal(t, h.FailingSince(), first)
		h.Record(time.Now(), fault.New(fault.Conflict, "a condition failed"))
		assert.Assert(t, !h.Down())
		assert.Assert(t, h.FailingSince().IsZero())
		assert.Equal(t, h.LastAnswer(), time.Now())
	})
}

func TestFailureOfACallOlderThanTheLastAnswerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		sentAt := time.Now()
		time.Sleep(time.Second)
		h.Record(time.Now(), nil)
		h.Record(sentAt, fault.New(fault.OutcomeUnknown, "no answer"))
		h.Record(sentAt, fault.New(fault.OutcomeUnknown, "no answer"))
		assert.Assert(t, !h.Down())
	})
}

// TestRateLimitedStoreIsNotDown guards against entries that took status 429 for an outage and refused callers for three seconds while other
// calls succeeded. Rejections for longer than the rate window are directed at this process.
func TestRateLimitedStoreIsNotDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		rateLimited := fault.New(fault.Overloaded, "rate limited")
		for range 10 {
			h.Record(time.Now(), rateLimited)
			time.Sleep(90 * time.Millisecond)
		}
		assert.Assert(t, !h.Down())
		assert.Assert(t, h.Limited())
		h.Record(time.Now(), nil)
		assert.Assert(t, !h.Limited())

		for h.Record(time.Now(), rateLimited); !h.Down(); h.Record(time.Now(), rateLimited) {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, time.Since(h.LastAnswer()) < 2*rateWindow)
		}
		assert.Assert(t, time.Since(h.LastAnswer()) >= rateWindow)
		assert.Assert(t, !h.Limited())
	})
}

// TestRejectedProcessIsDownAtOnce checks that a rejected process does not keep trying the store first for the whole rate window.
func TestRejectedProcessIsDownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		h.MarkRejected()
		assert.Assert(t, !h.Down(), "no call was rejected")
		h.Record(time.Now(), fault.New(fault.Overloaded, "rate limited"))
		first := h.limited
		h.MarkRejected()
		assert.Assert(t, h.Down() && !h.Limited())
		assert.Equal(t, h.FailingSince(), first)
		h.Record(time.Now(), nil)
		assert.Assert(t, !h.Down())
	})
}

// TestProcessIsReadmittedByACallAfterTheRejection guards against a rejected process that counts as readmitted by the answer to a watch sent before.
func TestProcessIsReadmittedByACallAfterTheRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		h.Record(time.Now(), nil)
		assert.Assert(t, !h.Readmitted(), "the process was not rate limited")
		watchSentAt := time.Now()
		time.Sleep(time.Second)
		h.Record(time.Now(), fault.New(fault.Overloaded, "rate limited"))
		h.Record(watchSentAt, nil)
		assert.Equal(t, h.Failures(), 0)
		assert.Assert(t, !h.Readmitted(), "the watch was sent before the rejection")
		time.Sleep(time.Millisecond)
		h.Record(time.Now(), nil)
		assert.Assert(t, h.Readmitted())
		time.Sleep(rateWindow)
		assert.Assert(t, !h.Readmitted())
		h.Record(time.Now(), nil)
		assert.Assert(t, !h.Readmitted(), "the process was not rate limited again")
	})
}

func TestRejectionsByTheRateLimitAreNotUnanswered(t *testing.T) {
	var h Health
	rateLimited := fault.New(fault.Overloaded, "rate limited")
	for _, err := range []error{rateLimited, fault.New(fault.Unavailable, "store unreachable"), rateLimited, fault.New(fault.OutcomeUnknown, "no answer")} {
		h.Record(time.Now(), err)
	}
	assert.Equal(t, h.Failures(), 4)
	assert.Equal(t, h.Unanswered(), 2)
	h.Record(time.Now(), nil)
	assert.Equal(t, h.Unanswered(), 0)
}
