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

func change(t *testing.T, store *kvtest.Store, txn kv.Txn) {
	t.Helper()
	_, err := store.Commit(context.Background(), txn)
	assert.NilError(t, err)
}

func closing(hall string) kv.Txn {
	return kv.Txn{Puts: []kv.Put{{Key: testPrefix + hall, Value: []byte("{odd")}}}
}

// closedHalls returns the closed halls in order.
func closedHalls(c *Closures) []string { return slices.Sorted(maps.Keys(c.Closed())) }

func opening(hall string) kv.Txn { return kv.Txn{Removes: []string{testPrefix + hall}} }

func TestClosuresAreHeardOfAndTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		change(t, store, closing("north"))
		change(t, store, kv.Txn{Puts: []kv.Put{{Key: testPrefix}, {Key: "closing"}}})
		c := New(store, testPrefix, testWithin, &boottimetest.Clock{}, logging.Discard())
		assert.Assert(t, c.Stale(), "nothing was read yet")
		assert.NilError(t, c.Load(t.Context()))
		assert.Assert(t, c.Status("north").Closed, "it lay there before, with an odd value")
		assert.Assert(t, !c.Status("").Closed)

		changes := 0
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); c.Run(ctx, func() { changes++ }) }()
		change(t, store, closing("south"))
		synctest.Wait()
		assert.DeepEqual(t, closedHalls(c), []string{"north", "south"})
		before := c.Status("north").Revision
		change(t, store, opening("north"))
		synctest.Wait()
		assert.Assert(t, !c.Status("north").Closed && c.Status("south").Closed)
		assert.Assert(t, c.Status("north").Revision > before)
		assert.Equal(t, changes, 2)

		// Closed and opened in a history that is forgotten.
		store.Forget()
		change(t, store, opening("south"))
		change(t, store, closing("east"))
		time.Sleep(time.Second)
		assert.DeepEqual(t, closedHalls(c), []string{"east"})
		time.Sleep(time.Minute)
		assert.Assert(t, !c.Stale(), "watches that hear nothing confirm it")
		cancel()
		<-ended
		time.Sleep(StaleAfter(testWithin) + time.Millisecond)
		assert.Assert(t, c.Stale())
	})
}

// silentOnce is a store of which one watch hears nothing until its caller gives it up.
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
	return nil, after, fault.New(fault.OutcomeUnknown, "the connection went silent")
}

func TestOneSilentWatchDoesNotMakeClosuresStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentOnce{Store: kvtest.New()}
		change(t, store.Store, closing("north"))
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

func TestWhatWasOvertakenIsLeft(t *testing.T) {
	c := New(kvtest.New(), testPrefix, testWithin, &boottimetest.Clock{}, logging.Discard())
	closed := kv.NewEvent(kv.NewItem(testPrefix+"north", nil, 7), false)
	assert.Assert(t, c.apply(follow.Change{Events: []kv.Event{closed}, Whole: true, At: 7, Asked: time.Now()}))
	assert.Assert(t, !c.apply(follow.Change{Whole: true, At: 6, Asked: time.Now()}))
	assert.Equal(t, c.Status("north"), Status{Closed: true, Revision: 7})
}

// TestWhatWasConfirmedBeforeASuspensionIsStale: a hall may have been closed meanwhile.
func TestWhatWasConfirmedBeforeASuspensionIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, store := &boottimetest.Clock{}, kvtest.New()
		change(t, store, closing("north"))
		c := New(store, testPrefix, testWithin, clock, logging.Discard())
		assert.NilError(t, c.Load(t.Context()))
		assert.Assert(t, !c.Stale())
		clock.Suspend(StaleAfter(testWithin) + time.Millisecond)
		assert.Assert(t, c.Stale())
		assert.NilError(t, c.Load(t.Context()))
		assert.Assert(t, !c.Stale())
	})
}
