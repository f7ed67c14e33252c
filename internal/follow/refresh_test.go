package follow

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

// transfer is how long slowStore takes to answer a read.
const transfer = 600 * time.Millisecond

// slowStore is a store that takes a while to send values, and counts its reads; its watches return nothing while it is deaf.
type slowStore struct {
	*kvtest.Store

	mu    sync.Mutex
	reads int
	deaf  bool
}

// Get implements kv.Store.
func (s *slowStore) Get(ctx context.Context, key string) (kv.Item, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	time.Sleep(transfer)
	return s.Store.Get(ctx, key)
}

// Watch implements kv.Store.
func (s *slowStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	s.mu.Lock()
	deaf := s.deaf
	s.mu.Unlock()
	if deaf {
		time.Sleep(wait)
		return nil, after, nil
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// setDeaf makes later watches return nothing.
func (s *slowStore) setDeaf() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = true
}

// followSlowStore runs a test with a follower of a value.
func followSlowStore(t *testing.T, value string, test func(*testing.T, *slowStore, *Follower[string])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{Store: kvtest.New()}
		put(t, store.Store, "key", value)
		f := New(store, "key", decodeText, logging.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		// The first read must have been a while ago.
		time.Sleep(10 * time.Millisecond)
		test(t, store, f)
		cancel()
		<-f.Done()
		// A shared read goes on after its callers have been answered.
		time.Sleep(transfer)
	})
}

// large is a value that is read again only if it has changed.
func large() string { return string(bytes.Repeat([]byte("x"), largeSize)) }

// TestConcurrentReadsShareOneTransfer guards against reads for many callers that share the bandwidth of a link and all time out: a read
// continues after its callers have given up, and later callers wait for it.
func TestConcurrentReadsShareOneTransfer(t *testing.T) {
	followSlowStore(t, "one", func(t *testing.T, store *slowStore, f *Follower[string]) {
		since := time.Now()
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), transfer/4)
			assert.ErrorIs(t, f.Verify(ctx, since, never), context.DeadlineExceeded)
			cancel()
		}
		ctx, cancel := context.WithTimeout(t.Context(), transfer/2)
		defer cancel()
		assert.NilError(t, f.Verify(ctx, since, never))
		assert.Equal(t, store.reads, 1)
	})
}

// TestVerificationDoesNotUseAnEarlierRead checks that a read that began before the given time verifies nothing.
func TestVerificationDoesNotUseAnEarlierRead(t *testing.T) {
	followSlowStore(t, "one", func(t *testing.T, store *slowStore, f *Follower[string]) {
		go func() { _, _ = f.Refresh(context.Background()) }()
		time.Sleep(transfer / 2)
		assert.NilError(t, f.Verify(t.Context(), time.Now(), never))
		assert.Equal(t, store.reads, 2)
	})
}

// TestUnchangedLargeValueIsNotReadAgain guards against a narrow link that is filled by the configuration for each request of a queue that
// does not exist.
func TestUnchangedLargeValueIsNotReadAgain(t *testing.T) {
	followSlowStore(t, large(), func(t *testing.T, store *slowStore, f *Follower[string]) {
		began := time.Now()
		assert.NilError(t, f.Verify(t.Context(), began, never))
		assert.Equal(t, store.reads, 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// TestChangedLargeValueIsReceivedOnce checks that a caller waits for the watch, which receives a changed value anyway.
func TestChangedLargeValueIsReceivedOnce(t *testing.T) {
	followSlowStore(t, large(), func(t *testing.T, store *slowStore, f *Follower[string]) {
		put(t, store.Store, "key", large()+"new")
		assert.NilError(t, f.Verify(t.Context(), time.Now(), never))
		value, _ := f.Value()
		assert.Assert(t, value.Decoded == large()+"new")
		assert.Equal(t, store.reads, 0)
	})
}

// TestChangedLargeValueIsReadIfTheWatchIsDeaf checks that a caller does not depend on the watch.
func TestChangedLargeValueIsReadIfTheWatchIsDeaf(t *testing.T) {
	followSlowStore(t, large(), func(t *testing.T, store *slowStore, f *Follower[string]) {
		store.setDeaf()
		time.Sleep(timing.Wait)
		put(t, store.Store, "key", large()+"new")
		began := time.Now()
		assert.NilError(t, f.Verify(t.Context(), began, never))
		value, _ := f.Value()
		assert.Assert(t, value.Decoded == large()+"new")
		assert.Assert(t, time.Since(began) <= watchDelay(largeSize)+transfer)
	})
}

// never accepts no value, so that only a confirmation ends a verification.
func never(string) bool { return false }

// TestAcceptedValueEndsTheWaitForARead guards against callers that wait for a slow read although the watch has received what they need.
func TestAcceptedValueEndsTheWaitForARead(t *testing.T) {
	followSlowStore(t, "one", func(t *testing.T, store *slowStore, f *Follower[string]) {
		go func() {
			time.Sleep(transfer / 3)
			put(t, store.Store, "key", "two")
		}()
		began := time.Now()
		assert.NilError(t, f.Verify(t.Context(), began, func(value string) bool { return value == "two" }))
		assert.Equal(t, time.Since(began), transfer/3)
	})
}
