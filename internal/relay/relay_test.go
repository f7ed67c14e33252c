package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const secret = "a secret of tests"

// entry serves a store to other processes and returns its address.
func entry(t *testing.T, store kv.Store) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	rpc.Handle(mux, link.MethodGet, func(ctx context.Context, _ *rpc.Peer, g link.Get) (link.Item, error) {
		item, err := store.Get(ctx, g.Key)
		return link.Item{Value: item.Value(), Revision: uint64(item.Revision())}, err
	})
	rpc.Handle(mux, link.MethodCommit, func(ctx context.Context, _ *rpc.Peer, c link.Commit) (link.CommitAnswer, error) {
		change := kv.Txn{}
		for key, revision := range c.Conditions {
			change.Conditions = append(change.Conditions, kv.Condition{Key: key, Revision: kv.Revision(revision)})
		}
		for key, value := range c.Puts {
			change.Puts = append(change.Puts, kv.Put{Key: key, Value: value})
		}
		revision, err := store.Commit(ctx, change)
		return link.CommitAnswer{Revision: uint64(revision)}, err
	})
	server := rpc.Serve(listener, secret, mux, rpc.ProcessLimits())
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func pool(addresses ...string) *Pool {
	return NewPool("self", secret, rpc.NewMux(timeline.NewClock(time.Now)), addresses)
}

func conditionalPut() kv.Txn {
	const key = "key"
	return kv.Txn{Conditions: []kv.Condition{{Key: key}}, Puts: []kv.Put{{Key: key, Value: []byte("v")}}}
}

func always(trouble kvtest.Failure) func() kvtest.Failure {
	return func() kvtest.Failure { return trouble }
}

func TestStoreThatRefusesIsReachedThroughAnEntry(t *testing.T) {
	refusing, serving := kvtest.New(), kvtest.New()
	refusing.SetFailure(always(kvtest.Refused))
	s := New(refusing, &kv.Health{}, pool(entry(t, serving)))
	assert.NilError(t, s.Commit(context.Background(), conditionalPut()))
	assert.DeepEqual(t, serving.Keys(""), []string{"key"})
}

func TestCallRefusedByAllPathsIsUnavailable(t *testing.T) {
	store := kvtest.New()
	store.SetFailure(always(kvtest.Refused))
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	err := New(store, &kv.Health{}, pool(entry(t, store))).Commit(ctx, conditionalPut())
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
}

func TestLostAnswerMakesTheOutcomeUnknown(t *testing.T) {
	store := kvtest.New()
	lost := true
	store.SetFailure(func() kvtest.Failure {
		if lost {
			lost = false
			return kvtest.RequestLost
		}
		return kvtest.Refused
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	err := New(store, &kv.Health{}, pool()).Commit(ctx, conditionalPut())
	assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
}

func TestSecondAttemptResolvesALostAnswer(t *testing.T) {
	store := kvtest.New()
	lost := true
	store.SetFailure(func() kvtest.Failure {
		if lost {
			lost = false
			return kvtest.AnswerLost
		}
		return kvtest.None
	})
	err := New(store, &kv.Health{}, pool()).Commit(context.Background(), conditionalPut())
	assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
	assert.Equal(t, store.Commits(), 2)
}

func TestPoolExcludesItselfAndRemovesTheOldest(t *testing.T) {
	p := pool("a", "self", "a", "b")
	assert.DeepEqual(t, p.addresses, []string{"a", "b"})
	for i := range maxAddresses {
		p.Add([]string{string(rune('A' + i))})
	}
	assert.Equal(t, len(p.addresses), maxAddresses)
}

// TestCallsFailFastDuringAKnownOutage checks that calls fail at once, as not sent, while nothing answers.
func TestCallsFailFastDuringAKnownOutage(t *testing.T) {
	store := kvtest.New()
	store.SetFailure(always(kvtest.RequestLost))
	s := New(store, &kv.Health{}, pool())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, fault.Is(s.Commit(ctx, conditionalPut()), fault.OutcomeUnknown))
	sent := store.Commits()
	start := time.Now()
	err := s.Commit(context.Background(), conditionalPut())
	assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	assert.Assert(t, time.Since(start) < downDuration/2)
	assert.Equal(t, store.Commits(), sent)

	store.SetFailure(nil)
	time.Sleep(downDuration + 10*time.Millisecond)
	assert.NilError(t, s.Commit(context.Background(), conditionalPut()))
}

// TestUnavailableStoreIsNotCalled guards against each entry detecting an outage only by its own timeouts.
func TestUnavailableStoreIsNotCalled(t *testing.T) {
	store := kvtest.New()
	health := &kv.Health{}
	s := New(store, health, pool())
	s.SetUnavailable(time.Minute)
	assert.Assert(t, fault.Is(s.Commit(context.Background(), conditionalPut()), fault.Unavailable))
	assert.Equal(t, store.Commits(), 0)
	s.SetAvailable()
	assert.NilError(t, s.Commit(context.Background(), conditionalPut()))
	s.SetUnavailable(time.Minute)
	time.Sleep(time.Millisecond)
	health.Record(time.Now(), nil)
	err := s.Commit(context.Background(), conditionalPut())
	assert.Assert(t, fault.Is(err, fault.Conflict), "the store answers this process again, got %v", err)
}

// TestPendingCallIsCanceledOnceTheStoreIsUnavailable guards against pending calls waiting until their timeout.
func TestPendingCallIsCanceledOnceTheStoreIsUnavailable(t *testing.T) {
	store := kvtest.New()
	store.SetFailure(always(kvtest.RequestLost))
	s := New(store, &kv.Health{}, pool())
	start := time.Now()
	time.AfterFunc(50*time.Millisecond, func() { s.SetUnavailable(time.Minute) })
	err := s.Commit(context.Background(), conditionalPut())
	assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "the call may have taken effect, got %v", err)
	assert.Assert(t, time.Since(start) < callTimeout/2)
}

// TestUnresponsiveEntryDelaysCallsBriefly guards against calls that never succeed: while the store was avoided by this process, an entry
// on a silent connection was tried first each time until the call timed out, as with seed 722 of the soak.
func TestUnresponsiveEntryDelaysCallsBriefly(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	release := make(chan struct{})
	rpc.Handle(mux, link.MethodGet, func(context.Context, *rpc.Peer, link.Get) (link.Item, error) {
		<-release
		return link.Item{}, fault.New(fault.Unavailable, "the test has ended")
	})
	server := rpc.Serve(listener, secret, mux, rpc.ProcessLimits())
	defer server.Close()
	defer close(release)
	health := &kv.Health{}
	for range 2 {
		health.Record(time.Now(), fault.New(fault.OutcomeUnknown, "no answer"))
	}
	s := New(kvtest.New(), health, pool(listener.Addr().String()))
	const getTimeout = 900 * time.Millisecond
	for attempt := 0; ; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), getTimeout)
		_, err = s.Get(ctx, "key")
		cancel()
		if err == nil {
			break
		}
		assert.Assert(t, attempt < 2, "%v", err)
		time.Sleep(avoidDuration / 4)
	}
}

// TestCallsPreferTheEntryThatAnsweredLast checks that Try stays with an entry that answers and moves on when it fails.
func TestCallsPreferTheEntryThatAnsweredLast(t *testing.T) {
	p := pool(entry(t, kvtest.New()), "127.0.0.1:1", entry(t, kvtest.New()))
	var called []*rpc.Peer
	call := func(peer *rpc.Peer) error {
		called = append(called, peer)
		return nil
	}
	for range 3 {
		assert.NilError(t, p.Try(t.Context(), maxPeers, call))
	}
	assert.Assert(t, called[0] == called[1] && called[1] == called[2])
	refused := fault.New(fault.Unavailable, "no leader is known")
	err := p.Try(t.Context(), 1, func(*rpc.Peer) error { return refused })
	assert.Assert(t, fault.Is(err, fault.Unavailable))
	assert.NilError(t, p.Try(t.Context(), maxPeers, call))
	assert.Assert(t, called[3] != called[0], "the next entry is tried first")
	assert.Assert(t, fault.Is(pool().Try(t.Context(), maxPeers, call), fault.Unavailable), "no entry is known")
}

// TestCallOfARejectedProcessGoesThroughAnEntry checks that this happens at once, although the error equals that of rate limiting.
func TestCallOfARejectedProcessGoesThroughAnEntry(t *testing.T) {
	health := &kv.Health{}
	serving := kvtest.New()
	s := New(rejectingStore{Store: kvtest.New(), health: health}, health, pool(entry(t, serving)))
	start := time.Now()
	assert.NilError(t, s.Commit(t.Context(), conditionalPut()))
	assert.DeepEqual(t, serving.Keys(""), []string{"key"})
	assert.Assert(t, health.Down(), "another process is served, so only this one is rejected")
	assert.Assert(t, time.Since(start) < minDirectTimeout, "%v", time.Since(start))
}

// rejectingStore is a store that rejects all calls of this process as rate limited.
type rejectingStore struct {
	*kvtest.Store
	health *kv.Health
}

// Commit implements kv.Store.
func (s rejectingStore) Commit(context.Context, kv.Txn) (kv.Revision, error) {
	err := fault.New(fault.Overloaded, "rate limited")
	s.health.Record(time.Now(), err)
	return 0, err
}
