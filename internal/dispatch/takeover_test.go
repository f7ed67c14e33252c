package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestSuspectedLeaderIsReplacedBeforeItsLeaseEnds failed with "e leads": nothing was scheduled until the lease of a dead lead
// ended. The lead that was suspected wrongly finds out with its next commit.
func TestSuspectedLeaderIsReplacedBeforeItsLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		earlier, err := newTestEntry("e", store).tryAcquire(t.Context())
		assert.NilError(t, err)
		next := newTestEntry("f", store)
		_, err = next.tryAcquire(t.Context())
		assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
		next.SuspectLeader(earlier.epoch, "a test")
		later, err := next.tryAcquire(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, later.epoch, earlier.epoch+FencesPerEpoch)
		earlier.verifiedAt = 0
		assert.Assert(t, fault.Is(earlier.verifyLeadership(t.Context()), fault.Stale))
	})
}

func TestSuspicionIsLimitedToOneEpochAndTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestEntry("e", kvtest.New())
		d.SuspectLeader(4, "a test")
		assert.Assert(t, d.mayReplace(4))
		assert.Assert(t, !d.mayReplace(5))
		time.Sleep(suspicionDuration)
		assert.Assert(t, !d.mayReplace(4))
	})
}

// TestLeaderYieldsToEntryThatReachesStore failed while a lead without a way to the store led until its lease ended.
func TestLeaderYieldsToEntryThatReachesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestEntry("e", kvtest.New())
		term, err := d.tryAcquire(t.Context())
		assert.NilError(t, err)
		d.term.Store(term)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- term.awaitYield(ctx) }()
		strength := 0.2
		fail := func() { d.config.Health.Note(time.Now(), fault.New(fault.Unavailable, "turned away")) }
		ping := func(age time.Duration) link.PingAnswer {
			answer, err := d.ping(ctx, nil, link.Ping{Entry: "f", Address: "f", Strength: strength, StoreAgeMillis: age.Milliseconds()})
			assert.NilError(t, err)
			return answer
		}
		time.Sleep(time.Second)
		d.config.Health.Note(time.Now(), nil)
		fail()
		assert.DeepEqual(t, ping(0), link.PingAnswer{Entries: []string{"e", "f"}, List: 2, Rank: 1})
		fail()
		time.Sleep(successorWait / 2)
		assert.Assert(t, ping(2*time.Second).StoreDown, "what the entry heard is older than the trouble")
		assert.Assert(t, ping(-time.Millisecond).StoreDown, "the entry never heard of the store")
		assert.Equal(t, term.storeAnsweredOther(d.config.Health.Failing()), false)
		recent := ping(0)
		assert.Assert(t, !recent.StoreDown && !recent.TakeOver, "the lead tries a few times more")
		assert.Assert(t, !ping(-time.Millisecond).StoreDown, "the store answers another entry")
		for range yieldFailures {
			fail()
		}
		assert.Assert(t, !ping(0).TakeOver, "a stronger entry may come")
		strength = 1
		assert.Assert(t, ping(0).TakeOver)
		assert.Assert(t, fault.Is(<-ended, fault.Unavailable))
		_, err = d.ping(ctx, nil, link.Ping{Entry: "g", Address: "g"})
		assert.Assert(t, fault.Is(err, fault.Stale), "only one entry is asked")
		assert.Assert(t, !d.backoffElapsed())
	})
}

// TestWeakLeaderYieldsToMuchStrongerEntry failed with the weak lead, which led for as long as nothing befell it: a weak entry wins when
// its follower notices first that nobody leads.
func TestWeakLeaderYieldsToMuchStrongerEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		weak := newTestEntry("weak", store)
		weak.config.Strength = 0.2
		term, err := weak.tryAcquire(t.Context())
		assert.NilError(t, err)
		weak.term.Store(term)
		ask := func(strength float64, age time.Duration) bool {
			answer, err := weak.ping(t.Context(), nil, link.Ping{Entry: "f", Address: "f", Strength: strength, StoreAgeMillis: age.Milliseconds()})
			assert.NilError(t, err)
			return answer.TakeOver
		}
		assert.Assert(t, !ask(0.8, 0), "the term has just begun")
		time.Sleep(outrankTermAge + time.Millisecond)
		assert.Assert(t, !ask(0.3, 0), "it is hardly stronger")
		assert.Assert(t, !ask(0.8, 2*outrankAnswerAge), "the store may not answer it")
		assert.Assert(t, !ask(0.8, -time.Millisecond), "the store never answered it")
		assert.Assert(t, ask(0.8, 0))
		strong := newTestEntry("strong", store)
		strong.SuspectLeader(term.epoch, "a test")
		next, err := strong.tryAcquire(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, next.epoch, term.epoch+FencesPerEpoch)
	})
}

// TestRateLimitedLeaderYields plays a fleet whose leader was among the entries that the store turned away: it held on for more than a second,
// with 63 runs lapsed on workers whose agents had not found the next leader.
func TestRateLimitedLeaderYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestEntry("e", kvtest.New())
		term, err := d.tryAcquire(t.Context())
		assert.NilError(t, err)
		d.term.Store(term)
		time.Sleep(time.Second)
		d.config.Health.Note(time.Now(), nil)
		ping := func(age time.Duration) link.PingAnswer {
			answer, err := d.ping(t.Context(), nil, link.Ping{Entry: "f", Address: "f", Strength: 1, StoreAgeMillis: age.Milliseconds()})
			assert.NilError(t, err)
			return answer
		}
		for range yieldFailures {
			d.config.Health.Note(time.Now(), fault.New(fault.Overloaded, "refused for its rate"))
			answer := ping(time.Second)
			assert.Assert(t, !answer.StoreDown && !answer.TakeOver, "the rate of all may be spent")
			time.Sleep(2 * answerAgeMargin)
		}
		assert.Assert(t, d.config.Health.Limited())
		assert.Assert(t, ping(0).TakeOver, "an entry is served since")
	})
}
