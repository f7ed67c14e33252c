package hall

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

const (
	testPrefix = "closed/"
	testWithin = 5 * time.Second
)

func commit(t *testing.T, store *kvtest.Store, txn kv.Txn) {
	t.Helper()
	_, err := store.Commit(context.Background(), txn)
	assert.NilError(t, err)
}

func closeTxn(hall string) kv.Txn {
	return kv.Txn{Puts: []kv.Put{{Key: testPrefix + hall, Value: []byte("{odd")}}}
}

// closedHalls returns the closed halls, sorted.
func closedHalls(c *Closures) []string { return slices.Sorted(maps.Keys(c.Closed())) }

func openTxn(hall string) kv.Txn { return kv.Txn{Removes: []string{testPrefix + hall}} }

func TestClosuresAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		commit(t, store, closeTxn("north"))
		commit(t, store, kv.Txn{Puts: []kv.Put{{Key: testPrefix}, {Key: "closing"}}})
		c := New(store, testPrefix, testWithin, &boottimetest.Clock{}, logging.Discard())
		assert.Assert(t, c.Stale(), "nothing is loaded yet")
		assert.NilError(t, c.Load(t.Context()))
		assert.Assert(t, c.Status("north").Closed, "closed before the load, with an unusual value")
		assert.Assert(t, !c.Status("").Closed)

		changes := 0
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); c.Run(ctx, func() { changes++ }) }()
		commit(t, store, closeTxn("south"))
		synctest.Wait()
		assert.DeepEqual(t, closedHalls(c), []string{"north", "south"})
		before := c.Status("north").Revision
		commit(t, store, openTxn("north"))
		synctest.Wait()
		assert.Assert(t, !c.Status("north").Closed && c.Status("south").Closed)
		assert.Assert(t, c.Status("north").Revision > before)
		assert.Equal(t, changes, 2)

		// Closed and reopened within a compacted part of the history.
		store.DropHistory()
		commit(t, store, openTxn("south"))
		commit(t, store, closeTxn("east"))
		time.Sleep(time.Second)
		assert.DeepEqual(t, closedHalls(c), []string{"east"})
		time.Sleep(time.Minute)
		assert.Assert(t, !c.Stale(), "watches without events confirm the closures")
		cancel()
		<-ended
		time.Sleep(StaleAfter(testWithin) + time.Millisecond)
		assert.Assert(t, c.Stale())
	})
}

// silentOnce is a store with one watch that does not respond until its caller cancels it.
type silentOnce struct {
	*kvtest.Store
	silent bool
}

// Watch implements kv.Store.
func (s *silentOnce) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	if !s.silent {
		return s.Store.Watch(ctx, prefix, after, wait)
	}
	s.silent = false
	const slack = 400 * time.Millisecond
	time.Sleep(wait + slack)
	return nil, after, fault.New(fault.OutcomeUnknown, "the connection stopped responding")
}

func TestOneSilentWatchDoesNotMakeClosuresStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentOnce{Store: kvtest.New()}
		commit(t, store.Store, closeTxn("north"))
		c := New(store, testPrefix, testWithin, &boottimetest.Clock{}, logging.Discard())
		assert.NilError(t, c.Load(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); c.Run(ctx, func() {}) }()
		time.Sleep(time.Second)
		store.silent = true
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, !c.Stale())
		}
		cancel()
		<-ended
	})
}

func TestOlderChangeIsIgnored(t *testing.T) {
	c := New(kvtest.New(), testPrefix, testWithin, &boottimetest.Clock{}, logging.Discard())
	closed := kv.NewEvent(kv.NewItem(testPrefix+"north", nil, 7), false)
	assert.Assert(t, c.apply(follow.Change{Events: []kv.Event{closed}, Snapshot: true, Revision: 7, RequestedAt: time.Now()}))
	assert.Assert(t, !c.apply(follow.Change{Snapshot: true, Revision: 6, RequestedAt: time.Now()}))
	assert.Equal(t, c.Status("north"), Status{Closed: true, Revision: 7})
}

// TestClosuresAreStaleAfterSuspension guards against using closures from before a suspension, in which a hall may have
// been closed.
func TestClosuresAreStaleAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, store := &boottimetest.Clock{}, kvtest.New()
		commit(t, store, closeTxn("north"))
		c := New(store, testPrefix, testWithin, clock, logging.Discard())
		assert.NilError(t, c.Load(t.Context()))
		assert.Assert(t, !c.Stale())
		clock.Suspend(StaleAfter(testWithin) + time.Millisecond)
		assert.Assert(t, c.Stale())
		assert.NilError(t, c.Load(t.Context()))
		assert.Assert(t, !c.Stale())
	})
}
