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
		h.Note(time.Now(), lost)
		assert.Assert(t, !h.Down(), "one may have gone by a silent connection")
		first := h.Failing()
		time.Sleep(time.Second)
		h.Note(time.Now(), lost)
		assert.Assert(t, h.Down())
		assert.Equal(t, h.Failing(), first)
		h.Note(time.Now(), fault.New(fault.Conflict, "a condition failed"))
		assert.Assert(t, !h.Down())
		assert.Assert(t, h.Failing().IsZero())
		assert.Equal(t, h.Answered(), time.Now())
	})
}

func TestWhatHungOnAnOlderConnectionSaysNothingOfNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		asked := time.Now()
		time.Sleep(time.Second)
		h.Note(time.Now(), nil)
		h.Note(asked, fault.New(fault.OutcomeUnknown, "no answer"))
		h.Note(asked, fault.New(fault.OutcomeUnknown, "no answer"))
		assert.Assert(t, !h.Down())
	})
}

// TestRefusalForTheRateIsAnAnswer plays a store that answers 429: entries took it for an outage and refused callers for three seconds, while other
// calls got through. A refusal that lasts longer than the second over which calls are counted turns this process away.
func TestRefusalForTheRateIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		refused := fault.New(fault.Overloaded, "refused for its rate")
		for range 10 {
			h.Note(time.Now(), refused)
			time.Sleep(90 * time.Millisecond)
		}
		assert.Assert(t, !h.Down())
		assert.Assert(t, h.Limited())
		h.Note(time.Now(), nil)
		assert.Assert(t, !h.Limited())

		for h.Note(time.Now(), refused); !h.Down(); h.Note(time.Now(), refused) {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, time.Since(h.Answered()) < 2*rateWindow)
		}
		assert.Assert(t, time.Since(h.Answered()) >= rateWindow)
		assert.Assert(t, !h.Limited())
	})
}

// TestRefusalIsNotForTheRateWhereAnotherIsServed: calls of a process that is turned away need not try the store first for a second.
func TestRefusalIsNotForTheRateWhereAnotherIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h Health
		h.NoteTurnedAway()
		assert.Assert(t, !h.Down(), "nothing was refused")
		h.Note(time.Now(), fault.New(fault.Overloaded, "refused for its rate"))
		first := h.limited
		h.NoteTurnedAway()
		assert.Assert(t, h.Down() && !h.Limited())
		assert.Equal(t, h.Failing(), first)
		h.Note(time.Now(), nil)
		assert.Assert(t, !h.Down())
	})
}
