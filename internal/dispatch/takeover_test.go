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

// TestSuspectedLeaderIsReplacedBeforeItsLeaseEnds guards against a failed leader that blocks all scheduling until its lease expires. A leader
// that was suspected wrongly detects its replacement with its next commit or verification.
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

// TestLeaderStepsDownForEntryThatReachesStore guards against a leader that keeps its leadership without access to the store until its lease expires.
func TestLeaderStepsDownForEntryThatReachesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestEntry("e", kvtest.New())
		leader, err := d.tryAcquire(t.Context())
		assert.NilError(t, err)
		d.term.Store(leader)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- leader.awaitStepDown(ctx) }()
		strength := 0.2
		fail := func() { d.config.Health.Record(time.Now(), fault.New(fault.Unavailable, "store unreachable")) }
		ping := func(age time.Duration) link.PingAnswer {
			answer, err := d.ping(ctx, nil, link.Ping{Entry: "f", Address: "f", Strength: strength, StoreAgeMillis: age.Milliseconds()})
			assert.NilError(t, err)
			return answer
		}
		time.Sleep(time.Second)
		d.config.Health.Record(time.Now(), nil)
		fail()
		assert.DeepEqual(t, ping(0), link.PingAnswer{Entries: []string{"e", "f"}, EntriesVersion: 2, Rank: 1})
		fail()
		time.Sleep(successorWait / 2)
		assert.Assert(t, ping(2*time.Second).StoreDown, "the entry's last answer is older than the first failure")
		assert.Assert(t, ping(-time.Millisecond).StoreDown, "the store never answered the entry")
		assert.Equal(t, leader.storeAnsweredOther(d.config.Health.FailingSince()), false)
		recent := ping(0)
		assert.Assert(t, !recent.StoreDown && !recent.TakeOver, "the leader retries a few times")
		assert.Assert(t, !ping(-time.Millisecond).StoreDown, "the store answers another entry")
		for range stepDownFailures {
			fail()
		}
		assert.Assert(t, !ping(0).TakeOver, "a stronger entry may ping")
		strength = 1
		assert.Assert(t, ping(0).TakeOver)
		assert.Assert(t, fault.Is(<-ended, fault.Unavailable))
		_, err = d.ping(ctx, nil, link.Ping{Entry: "g", Address: "g"})
		assert.Assert(t, fault.Is(err, fault.Stale), "only one entry is asked to take over")
		assert.Assert(t, !d.backoffElapsed())
	})
}

// TestWeakLeaderStepsDownForMuchStrongerEntry guards against a weak leader that keeps its leadership until it fails. A weak entry becomes the leader
// if it is the first to detect that there is none.
func TestWeakLeaderStepsDownForMuchStrongerEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		weak := newTestEntry("weak", store)
		weak.config.Strength = 0.2
		leader, err := weak.tryAcquire(t.Context())
		assert.NilError(t, err)
		weak.term.Store(leader)
		stepsDownFor := func(strength float64, age time.Duration) bool {
			answer, err := weak.ping(t.Context(), nil, link.Ping{Entry: "f", Address: "f", Strength: strength, StoreAgeMillis: age.Milliseconds()})
			assert.NilError(t, err)
			return answer.TakeOver
		}
		assert.Assert(t, !stepsDownFor(0.8, 0), "the term has just begun")
		time.Sleep(outrankTermAge + time.Millisecond)
		assert.Assert(t, !stepsDownFor(0.3, 0), "the entry is only slightly stronger")
		assert.Assert(t, !stepsDownFor(0.8, 2*outrankAnswerAge), "the entry's last answer from the store is too old")
		assert.Assert(t, !stepsDownFor(0.8, -time.Millisecond), "the store never answered the entry")
		assert.Assert(t, stepsDownFor(0.8, 0))
		strong := newTestEntry("strong", store)
		strong.SuspectLeader(leader.epoch, "a test")
		next, err := strong.tryAcquire(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, next.epoch, leader.epoch+FencesPerEpoch)
	})
}

// TestRateLimitedLeaderStepsDown guards against a rate-limited leader that keeps its leadership. In one fleet it did so for more than a second,
// and 63 runs expired on workers whose agents had not found the next leader.
func TestRateLimitedLeaderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestEntry("e", kvtest.New())
		leader, err := d.tryAcquire(t.Context())
		assert.NilError(t, err)
		d.term.Store(leader)
		time.Sleep(time.Second)
		d.config.Health.Record(time.Now(), nil)
		ping := func(age time.Duration) link.PingAnswer {
			answer, err := d.ping(t.Context(), nil, link.Ping{Entry: "f", Address: "f", Strength: 1, StoreAgeMillis: age.Milliseconds()})
			assert.NilError(t, err)
			return answer
		}
		for range stepDownFailures {
			d.config.Health.Record(time.Now(), fault.New(fault.Overloaded, "rate limit exceeded"))
			answer := ping(time.Second)
			assert.Assert(t, !answer.StoreDown && !answer.TakeOver, "the rate limit of all entries may be exhausted")
			time.Sleep(2 * answerAgeMargin)
		}
		assert.Assert(t, d.config.Health.Limited())
		assert.Assert(t, ping(0).TakeOver, "the store has answered an entry since")
	})
}
