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
		lost := fault.New(fault.OutcomeUnknown, "no answer")
		h.Record(time.Now(), lost)
		assert.Assert(t, !h.Down(), "one may have gone by a silent connection")
		first := h.FailingSince()
		time.Sleep(time.Second)
		h.Record(time.Now(), lost)
		assert.Assert(t, h.Down())
		assert.Equal(t, h.FailingSince(), first)
		h.Record(time.Now(), fault.New(fault.Conflict, "a condition failed"))
		assert.Assert(t, !h.Down())
		assert.Assert(t, h.FailingSince().IsZero())
		assert.Equal(t, h.LastAnswer(), time.Now())
	})
}

func TestWhatHungOnAnOlderConnectionSaysNothingOfNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		asked := time.Now()
		time.Sleep(time.Second)
		h.Record(time.Now(), nil)
		h.Record(asked, fault.New(fault.OutcomeUnknown, "no answer"))
		h.Record(asked, fault.New(fault.OutcomeUnknown, "no answer"))
		assert.Assert(t, !h.Down())
	})
}

// TestRefusalForTheRateIsAnAnswer plays a store that answers 429: entries took it for an outage and refused callers for three seconds, while other
// calls got through. A refusal that lasts longer than the second over which calls are counted turns this process away.
func TestRefusalForTheRateIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		refused := fault.New(fault.Overloaded, "rate limited")
		for range 10 {
			h.Record(time.Now(), refused)
			time.Sleep(90 * time.Millisecond)
		}
		assert.Assert(t, !h.Down())
		assert.Assert(t, h.Limited())
		h.Record(time.Now(), nil)
		assert.Assert(t, !h.Limited())

		for h.Record(time.Now(), refused); !h.Down(); h.Record(time.Now(), refused) {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, time.Since(h.LastAnswer()) < 2*rateWindow)
		}
		assert.Assert(t, time.Since(h.LastAnswer()) >= rateWindow)
		assert.Assert(t, !h.Limited())
	})
}

// TestRefusalIsNotForTheRateWhereAnotherIsServed: calls of a process that is turned away need not try the store first for a second.
func TestRefusalIsNotForTheRateWhereAnotherIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		h.MarkRejected()
		assert.Assert(t, !h.Down(), "nothing was refused")
		h.Record(time.Now(), fault.New(fault.Overloaded, "rate limited"))
		first := h.limited
		h.MarkRejected()
		assert.Assert(t, h.Down() && !h.Limited())
		assert.Equal(t, h.FailingSince(), first)
		h.Record(time.Now(), nil)
		assert.Assert(t, !h.Down())
	})
}
