package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

func decodeText(data []byte) (string, error) { return string(data), nil }

func put(t *testing.T, store *kvtest.Store, key, value string) {
	t.Helper()
	_, err := store.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

func TestFollowsChangesRemovalsAndCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		put(t, store, "other", "x")
		f := New(store, "key", decodeText, logging.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		synctest.Wait()
		value, known := f.Value()
		assert.Assert(t, known)
		assert.Equal(t, value.Revision, kv.Revision(0))

		put(t, store, "key", "one")
		synctest.Wait()
		value, _ = f.Value()
		assert.Equal(t, value.Decoded, "one")

		store.DropHistory()
		put(t, store, "key", "two")
		time.Sleep(time.Second)
		value, _ = f.Value()
		assert.Equal(t, value.Decoded, "two")

		_, err := store.Commit(context.Background(), kv.Txn{Removes: []string{"key"}})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		value, known = f.Value()
		assert.Assert(t, known)
		assert.Equal(t, value.Revision, kv.Revision(0))
		cancel()
		<-f.Done()
	})
}

func TestOlderValueIsIgnored(t *testing.T) {
	f := New(kvtest.New(), "key", decodeText, logging.Discard())
	f.Offer(Value[string]{Decoded: "new", Revision: 9})
	f.Offer(Value[string]{Decoded: "old", Revision: 4})
	value, known := f.Value()
	assert.Assert(t, known)
	assert.Equal(t, value.Decoded, "new")
}

func TestChangedIsClosedByAChange(t *testing.T) {
	f := New(kvtest.New(), "key", decodeText, logging.Discard())
	changed := f.Changed()
	f.Offer(Value[string]{Decoded: "new", Revision: 1})
	select {
	case <-changed:
	default:
		t.Fatal("the channel is open after a change")
	}
}

// firstWatchFails is a store whose first watch fails; it counts its watches and ranges.
type firstWatchFails struct {
	*kvtest.Store
	watches, ranges int
}

// Range implements kv.Store.
func (s *firstWatchFails) Range(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	s.ranges++
	return s.Store.Range(ctx, prefix)
}

// Watch implements kv.Store.
func (s *firstWatchFails) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	s.watches++
	if s.watches == 1 {
		return nil, after, fault.New(fault.OutcomeUnknown, "the connection stopped responding")
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// TestFailedWatchContinuesFromItsRevision guards against a second range after a failed watch: only a compacted history requires reading all keys again.
func TestFailedWatchContinuesFromItsRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &firstWatchFails{Store: kvtest.New()}
		put(t, store.Store, "key", "one")
		f := New(store, "key", decodeText, logging.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		time.Sleep(time.Second)
		put(t, store.Store, "key", "two")
		time.Sleep(time.Second)
		value, _ := f.Value()
		assert.Equal(t, value.Decoded, "two")
		cancel()
		<-f.Done()
		assert.Equal(t, store.ranges, 1)
	})
}

// TestConfirmedKeyIsWatchedLessOften guards against overloading the store: 184 entries that each watched two keys every 1.5 s made 245 calls a second.
func TestConfirmedKeyIsWatchedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &firstWatchFails{Store: kvtest.New(), watches: 1}
		put(t, store.Store, "other", "x")
		f := New(store, "key", decodeText, logging.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		// watches counts the watches that begin within a time in which the key is confirmed or not.
		watches := func(within time.Duration, confirmed bool) int {
			before, end := store.watches, time.Now().Add(within)
			for time.Now().Before(end) {
				if confirmed {
					f.Confirm()
				}
				time.Sleep(confirmationTTL / 2)
			}
			return store.watches - before
		}
		watches(timing.Wait, true)
		assert.Assert(t, watches(4*timing.ConfirmedWait, true) <= 4)
		put(t, store.Store, "key", "one")
		synctest.Wait()
		value, _ := f.Value()
		assert.Equal(t, value.Decoded, "one", "a change is still received at once")
		watches(timing.ConfirmedWait, false)
		assert.Assert(t, watches(4*timing.Wait, false) >= 3, "the key is no longer confirmed")
		cancel()
		<-f.Done()
	})
}

// silentAfterCut is a store whose second watch is cut; later watches return nothing for a while, even if they missed a change.
type silentAfterCut struct {
	*kvtest.Store
	watches int
	cutAt   time.Time
}

// silence is how long watches return nothing after the cut.
const silence = time.Second

// Watch implements kv.Store.
func (s *silentAfterCut) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	s.watches++
	if s.watches == 2 {
		s.cutAt = time.Now()
		return nil, after, fault.New(fault.OutcomeUnknown, "the connection was closed")
	}
	if s.watches > 2 && time.Since(s.cutAt) < silence {
		time.Sleep(wait)
		return nil, after, nil
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// TestFollowerRetriesSoonAfterCutWatch guards against a stale configuration after a cut watch: a request was handled with the previous configuration
// after another one had been handled with the newer one. The leader's next watch had returned nothing for 1.5 s, and the entry that could not reach the
// store received the configuration from the leader.
func TestFollowerRetriesSoonAfterCutWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentAfterCut{Store: kvtest.New()}
		put(t, store.Store, "key", "one")
		f := New(store, "key", decodeText, logging.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		go f.Run(ctx)
		time.Sleep(timing.Wait + 10*time.Millisecond)
		for store.cutAt.IsZero() {
			time.Sleep(time.Millisecond)
		}
		put(t, store.Store, "key", "two")
		time.Sleep(silence + shortWait + minRetryDelay)
		value, _ := f.Value()
		assert.Equal(t, value.Decoded, "two")
		cancel()
		<-f.Done()
	})
}
