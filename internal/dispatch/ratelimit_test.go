package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// failingStore is the store as used by one process, whose reads fail with err if it is set.
type failingStore struct {
	*kvtest.Store
	health *kv.Health
	err    error
}

// Get implements kv.Store.
func (s *failingStore) Get(ctx context.Context, key string) (kv.Item, error) {
	sentAt := time.Now()
	if s.err != nil {
		s.health.Record(sentAt, s.err)
		return kv.Item{}, s.err
	}
	item, err := s.Store.Get(ctx, key)
	s.health.Record(sentAt, err)
	return item, err
}

var (
	errRateLimited = fault.New(fault.Overloaded, "rate limited")
	errUnavailable = fault.New(fault.Unavailable, "store unreachable")
	errNoAnswer    = fault.New(fault.OutcomeUnknown, "no answer")
)

// newFailingLeader returns a leader whose store has answered it once and from then on fails its reads with an error.
func newFailingLeader(t *testing.T, err error) (*Dispatcher, *failingStore) {
	t.Helper()
	store := &failingStore{Store: kvtest.New()}
	d := newTestEntry("e", store)
	store.health = d.config.Health
	leader, acquireErr := d.tryAcquire(t.Context())
	assert.NilError(t, acquireErr)
	d.term.Store(leader)
	time.Sleep(time.Second)
	store.health.Record(time.Now(), nil)
	store.err = err
	return d, store
}

// failReads makes a number of reads, 40 ms apart.
func (s *failingStore) failReads(t *testing.T, count int) {
	t.Helper()
	for range count {
		_, err := s.Get(t.Context(), "key")
		assert.ErrorIs(t, err, s.err)
		time.Sleep(2 * answerAgeMargin)
	}
}

// pingAnswered has an entry ping that the store has just answered.
func pingAnswered(t *testing.T, d *Dispatcher, p link.Ping) link.PingAnswer {
	t.Helper()
	p.Entry, p.Address, p.Strength = "f", "f", 1
	answer, err := d.ping(t.Context(), nil, p)
	assert.NilError(t, err)
	return answer
}

// TestLeaderRateLimitedUntilTheWindowEndsIsNotReplaced guards against a rate-limited leader that stepped down as soon as another entry was the first
// to be answered in the next rate window. The change of the leader made all entries watch again at once, which used up that window, so the next
// leader could not read the jobs and the store was reported as unavailable.
func TestLeaderRateLimitedUntilTheWindowEndsIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, store := newFailingLeader(t, errRateLimited)
		store.failReads(t, stepDownFailures)
		store.err = nil
		assert.Assert(t, !pingAnswered(t, d, link.Ping{}).TakeOver)
		assert.Equal(t, store.health.Failures(), 0, "the leader has called the store again")
		assert.Assert(t, d.IsLeader())
	})
}

// TestLeaderThatTheStoreFailsWhileItAnswersOthersIsReplaced checks that the failures of a leader that is rate limited as well count in full as long as
// no entry was readmitted.
func TestLeaderThatTheStoreFailsWhileItAnswersOthersIsReplaced(t *testing.T) {
	for name, errs := range map[string][]error{
		"rejected":               {errRateLimited},
		"no answer":              {errNoAnswer},
		"rejected, no answer":    {errRateLimited, errNoAnswer},
		"unavailable, rejected":  {errUnavailable, errRateLimited},
		"no answer, unavailable": {errNoAnswer, errUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, store := newFailingLeader(t, nil)
				for i := range stepDownFailures {
					assert.Assert(t, !pingAnswered(t, d, link.Ping{}).TakeOver, "after %d failures", i)
					store.err = errs[i%len(errs)]
					store.failReads(t, 1)
				}
				assert.Assert(t, pingAnswered(t, d, link.Ping{}).TakeOver)
			})
		})
	}
}

// TestLeaderIsNotReplacedWhileTheStoreLimitsAllEntries guards against a leader that is replaced because the calls of its entries use up each rate window
// before its own next call. Calls without an answer still count.
func TestLeaderIsNotReplacedWhileTheStoreLimitsAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, store := newFailingLeader(t, errRateLimited)
		for range 2 * int(time.Second/(2*answerAgeMargin)) {
			store.failReads(t, 1)
			assert.Assert(t, !pingAnswered(t, d, link.Ping{Readmitted: true}).TakeOver)
		}
		store.err = errNoAnswer
		for range stepDownFailures {
			assert.Assert(t, !pingAnswered(t, d, link.Ping{Readmitted: true}).TakeOver)
			store.failReads(t, 1)
		}
		assert.Assert(t, pingAnswered(t, d, link.Ping{Readmitted: true}).TakeOver)
	})
}

// TestLeaderIsReplacedOnceNoEntryIsReadmittedAnyMore checks that a leader that the store rejects does not remain after the rate limit of all entries has ended.
func TestLeaderIsReplacedOnceNoEntryIsReadmittedAnyMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, store := newFailingLeader(t, errRateLimited)
		store.failReads(t, stepDownFailures)
		assert.Assert(t, !pingAnswered(t, d, link.Ping{Readmitted: true}).TakeOver)
		time.Sleep(readmissionTTL - time.Millisecond)
		assert.Assert(t, !pingAnswered(t, d, link.Ping{}).TakeOver)
		time.Sleep(time.Millisecond)
		assert.Assert(t, pingAnswered(t, d, link.Ping{}).TakeOver)
	})
}
