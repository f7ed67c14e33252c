package intake

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/policy"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const secret = "a secret of tests"

// rejectingStore is a store that can reject the calls of this process, and records its health.
type rejectingStore struct {
	*kvtest.Store
	health *kv.Health

	mu        sync.Mutex
	rejecting bool
	callCount int
	// afterGet is called once after the read of a key, nil for none.
	afterGet func(key string)
}

func (s *rejectingStore) set(rejecting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = rejecting
}

// calls returns how often the store was called.
func (s *rejectingStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// Get implements kv.Store.
func (s *rejectingStore) Get(ctx context.Context, key string) (kv.Item, error) {
	s.mu.Lock()
	rejecting := s.rejecting
	s.callCount++
	s.mu.Unlock()
	sentAt := time.Now()
	if rejecting {
		err := fault.New(fault.Unavailable, "rejected by the store")
		s.health.Record(sentAt, err)
		return kv.Item{}, err
	}
	s.health.Record(sentAt, nil)
	item, err := s.Store.Get(ctx, key)
	if hook := s.afterGet; hook != nil {
		s.afterGet = nil
		hook(key)
	}
	return item, err
}

// fakeSuccessor is a successor that records the epochs of the suspected leaders.
type fakeSuccessor struct {
	mu     sync.Mutex
	epochs []uint64
}

func (s *fakeSuccessor) IsLeader() bool { return false }

func (s *fakeSuccessor) SetRank(int) {}

// JobState implements LocalDispatcher for an entry that is not the leader.
func (s *fakeSuccessor) JobState(job.ID) (job.State, bool) { return job.Queued, false }

func (s *fakeSuccessor) TakeOver(epoch uint64, _ time.Duration) { s.SuspectLeader(epoch, "") }

func (s *fakeSuccessor) SuspectLeader(epoch uint64, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epochs = append(s.epochs, epoch)
}

// fakeLeader answers pings with a configured answer.
type fakeLeader struct {
	mu     sync.Mutex
	answer link.PingAnswer
	err    error
	pings  []link.Ping
	state  link.JobStateAnswer
	// configuration is what the leader offers to entries that lack it.
	configuration link.Offer
}

// setJobState sets the answer to requests for the state of a job.
func (l *fakeLeader) setJobState(state link.JobStateAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
}

func (l *fakeLeader) set(answer link.PingAnswer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answer, l.err = answer, err
}

// serve returns the address of the leader and a function that stops it.
func (l *fakeLeader) serve(t *testing.T) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	rpc.Handle(mux, link.MethodPing, func(_ context.Context, _ *rpc.Peer, p link.Ping) (link.PingAnswer, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pings = append(l.pings, p)
		answer := l.answer
		if l.configuration.Revision > p.Revision {
			answer.Offer = l.configuration
		}
		if p.ValueOnRequest {
			answer.Value = nil
		}
		return answer, l.err
	})
	rpc.Handle(mux, link.MethodConfiguration, func(context.Context, *rpc.Peer, link.Empty) (link.Offer, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.configuration, nil
	})
	rpc.Handle(mux, link.MethodState, func(context.Context, *rpc.Peer, link.JobStateRequest) (link.JobStateAnswer, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.state, l.err
	})
	server := rpc.Serve(listener, secret, mux, rpc.ProcessLimits())
	t.Cleanup(server.Close)
	return listener.Addr().String(), server.Close
}

// testEntry is an entry that pings a fake leader.
type testEntry struct {
	*Pinger
	store       *rejectingStore
	successor   *fakeSuccessor
	leader      *fakeLeader
	closeLeader func()
}

func newTestEntry(t *testing.T) *testEntry {
	t.Helper()
	health := &kv.Health{}
	e := &testEntry{store: &rejectingStore{Store: kvtest.New(), health: health}, successor: &fakeSuccessor{}, leader: &fakeLeader{}}
	address, end := e.leader.serve(t)
	e.closeLeader = end
	pool := relay.NewPool("self", secret, rpc.NewMux(timeline.NewClock(time.Now)), nil)
	follower := follow.New(e.store, record.LeaderKey, record.DecodeLeader, logging.Discard())
	follower.Offer(follow.Value[record.Leader]{Decoded: record.Leader{Process: "lead", Address: address, Epoch: 7}, Revision: 1})
	decode := func([]byte) (*policy.Policy, error) { return nil, fault.New(fault.BadInput, "none") }
	server := New(Config{
		Store: relay.New(e.store, health, pool), Direct: e.store, Health: health, Pool: pool, Leader: follower, Dispatcher: e.successor,
		Policies: NewPolicies(e.store, "config", decode, logging.Discard()), Logger: logging.Discard(), Metrics: metric.New(),
	})
	e.Pinger = NewPinger(server, Self{Process: "self", Address: "self", Strength: 0.8}, e.successor)
	return e
}

// pingOnce pings once and returns the error.
func (e *testEntry) pingOnce(t *testing.T) error {
	t.Helper()
	_, err := e.ping(t.Context())
	if err != nil {
		e.handlePingError(t.Context(), err)
	}
	return err
}

// TestCallersAreRefusedWhileTheStoreIsDown guards against each entry detecting an outage only by the timeouts of its callers.
func TestCallersAreRefusedWhileTheStoreIsDown(t *testing.T) {
	e := newTestEntry(t)
	// refuses reports whether a caller is refused without a call to the store.
	refuses := func() bool {
		before := e.store.calls()
		_, err := e.server.config.Store.Get(t.Context(), record.LastCommitKey)
		return fault.Is(err, fault.Unavailable) && e.store.calls() == before
	}
	e.leader.set(link.PingAnswer{StoreDown: true}, nil)
	assert.NilError(t, e.pingOnce(t))
	assert.Assert(t, !refuses(), "the store answers this entry")
	e.store.set(true)
	assert.NilError(t, e.pingOnce(t))
	assert.Assert(t, refuses())
	e.store.set(false)
	assert.Assert(t, refuses(), "the store was not called since")
	e.leader.set(link.PingAnswer{}, nil)
	assert.NilError(t, e.pingOnce(t))
	assert.Assert(t, !refuses())
}

// TestRejectedEntryFindsTheNextLeaderThroughOthers guards against an entry that kept following the previous leader for nine seconds.
func TestRejectedEntryFindsTheNextLeaderThroughOthers(t *testing.T) {
	e := newTestEntry(t)
	next, err := record.Encode(record.Leader{Process: "next", Address: "127.0.0.1:1", Epoch: 8})
	assert.NilError(t, err)
	_, err = e.store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: "other"}, {Key: record.LeaderKey, Value: next}}})
	assert.NilError(t, err)
	_, err = e.store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: record.LeaderKey, Value: next}}})
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	Register(mux, e.store.Store, &kv.Health{})
	server := rpc.Serve(listener, secret, mux, rpc.ProcessLimits())
	defer server.Close()
	e.server.config.Pool.Add([]string{listener.Addr().String()})
	e.store.set(true)
	for range 2 {
		_ = e.probeStore(t.Context())
	}
	e.leader.set(link.PingAnswer{}, fault.New(fault.Stale, "this entry is not the leader"))
	assert.Assert(t, fault.Is(e.pingOnce(t), fault.Stale))
	leader, _ := e.server.config.Leader.Value()
	assert.Equal(t, leader.Decoded.Epoch, uint64(8))
}

func TestLeaderWhoseVMRefusesConnectionsIsSuspected(t *testing.T) {
	e := newTestEntry(t)
	assert.NilError(t, e.pingOnce(t))
	assert.Equal(t, e.leader.pings[0].Strength, 0.8)
	assert.Equal(t, len(e.successor.epochs), 0)
	e.closeLeader()
	for e.pingOnce(t) == nil || len(e.successor.epochs) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, e.successor.epochs[0], uint64(7))
}

func TestEntryAskedToTakeOverCampaigns(t *testing.T) {
	e := newTestEntry(t)
	e.leader.set(link.PingAnswer{TakeOver: true}, nil)
	assert.NilError(t, e.pingOnce(t))
	assert.DeepEqual(t, e.successor.epochs, []uint64{7})
}

// TestPingReportsThatTheStoreReadmittedTheEntry guards against a leader that does not learn that the store rate limits its entries too.
func TestPingReportsThatTheStoreReadmittedTheEntry(t *testing.T) {
	e := newTestEntry(t)
	e.store.health.Record(time.Now(), fault.New(fault.Overloaded, "rate limited"))
	assert.NilError(t, e.pingOnce(t))
	e.store.health.Record(time.Now(), nil)
	assert.NilError(t, e.pingOnce(t))
	e.leader.mu.Lock()
	defer e.leader.mu.Unlock()
	assert.Assert(t, !e.leader.pings[0].Readmitted)
	assert.Assert(t, e.leader.pings[1].Readmitted)
}
