package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
)

// slowStore is a store with slow range reads, which may fail, and with leases that expire.
type slowStore struct {
	*kvtest.Store
	rangeDelay time.Duration
	rangeFails bool

	mu     sync.Mutex
	leases map[kv.LeaseID]*time.Timer
}

func (s *slowStore) Range(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	<-time.After(s.rangeDelay)
	if s.rangeFails {
		return nil, 0, fault.New(fault.OutcomeUnknown, "the answer timed out")
	}
	return s.Store.Range(ctx, prefix)
}

func (s *slowStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	id, err := s.Store.Grant(ctx, ttl)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = time.AfterFunc(ttl, func() { s.Expire(id) })
	return id, err
}

func (s *slowStore) Renew(ctx context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Store.Renew(ctx, id); err != nil {
		return err
	}
	s.leases[id].Reset(leaseTTL)
	return nil
}

// runDispatchers runs concurrent dispatchers for a time, each with its own connection to a shared store.
func runDispatchers(t *testing.T, length time.Duration, stores ...*slowStore) []*Dispatcher {
	t.Helper()
	_, err := stores[0].Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "op/config"}}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	var dispatchers []*Dispatcher
	for i, s := range stores {
		d := newTestEntry(string(rune('a'+i)), s)
		dispatchers = append(dispatchers, d)
		running.Go(func() { d.config.Leader.Run(ctx) })
		running.Go(func() { d.Run(ctx) })
	}
	<-time.After(length)
	synctest.Wait()
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return dispatchers
}

// TestLeaseIsRenewedWhileJobsAreLoaded guards against a leader change every two seconds, with no leader that places
// anything, which happened when loading the jobs took longer than the lease.
func TestLeaseIsRenewedWhileJobsAreLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		leases := make(map[kv.LeaseID]*time.Timer)
		slow := &slowStore{Store: store, rangeDelay: 2 * time.Second, leases: leases}
		runDispatchers(t, 20*time.Second, slow, slow)
		last, _, err := readLastCommit(t.Context(), store)
		assert.NilError(t, err)
		assert.Equal(t, last.Epoch, uint64(FencesPerEpoch))
	})
}

// TestEntryThatCannotLoadJobsGivesUpLeadership checks that an entry that can load them leads instead.
func TestEntryThatCannotLoadJobsGivesUpLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		leases := make(map[kv.LeaseID]*time.Timer)
		failing := &slowStore{Store: store, rangeDelay: time.Second, rangeFails: true, leases: leases}
		working := &slowStore{Store: store, leases: leases}
		dispatchers := runDispatchers(t, 10*time.Second, failing, working)
		assert.Assert(t, dispatchers[0].term.Load() == nil)
		assert.Assert(t, dispatchers[1].term.Load() != nil)
	})
}
