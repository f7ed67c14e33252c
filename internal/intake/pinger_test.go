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

// turningAway is a store that turns this process away, or not, and tells its health.
type turningAway struct {
	*kvtest.Store
	health *kv.Health

	mu    sync.Mutex
	away  bool
	asked int
}

func (s *turningAway) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// calls returns how often the store was asked.
func (s *turningAway) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// Get implements kv.Store.
func (s *turningAway) Get(ctx context.Context, key string) (kv.Item, error) {
	s.mu.Lock()
	away := s.away
	s.asked++
	s.mu.Unlock()
	asked := time.Now()
	if away {
		err := fault.New(fault.Unavailable, "turned away")
		s.health.Record(asked, err)
		return kv.Item{}, err
	}
	s.health.Record(asked, nil)
	return s.Store.Get(ctx, key)
}

// suspicions is a successor that notes whom it may replace.
type suspicions struct {
	mu     sync.Mutex
	epochs []uint64
}

func (s *suspicions) IsLeader() bool { return false }

func (s *suspicions) SetRank(int) {}

// JobState implements Leader; this entry does not lead.
func (s *suspicions) JobState(job.ID) (job.State, bool) { return job.Queued, false }

func (s *suspicions) TakeOver(epoch uint64) { s.SuspectLeader(epoch, "") }

func (s *suspicions) SuspectLeader(epoch uint64, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epochs = append(s.epochs, epoch)
}

// fakeLead answers pings as it is set to.
type fakeLead struct {
	mu     sync.Mutex
	answer link.PingAnswer
	err    error
	pings  []link.Ping
	state  link.JobStateAnswer
}

// tell sets what the lead answers of a job.
func (l *fakeLead) tell(state link.JobStateAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
}

func (l *fakeLead) set(answer link.PingAnswer, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answer, l.err = answer, err
}

// serve returns the address of the lead and what ends it.
func (l *fakeLead) serve(t *testing.T) (string, func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	rpc.Handle(mux, link.MethodPing, func(_ context.Context, _ *rpc.Peer, p link.Ping) (link.PingAnswer, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.pings = append(l.pings, p)
		return l.answer, l.err
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

// entry is an entry that pings a lead.
type entry struct {
	*Pinger
	store     *turningAway
	suspected *suspicions
	lead      *fakeLead
	endLead   func()
}

func newEntry(t *testing.T) *entry {
	t.Helper()
	health := &kv.Health{}
	e := &entry{store: &turningAway{Store: kvtest.New(), health: health}, suspected: &suspicions{}, lead: &fakeLead{}}
	address, end := e.lead.serve(t)
	e.endLead = end
	pool := relay.NewPool("self", secret, rpc.NewMux(timeline.NewClock(time.Now)), nil)
	followed := follow.New(e.store, record.LeaderKey, record.DecodeLeader, logging.Discard())
	followed.Offer(follow.Value[record.Leader]{Decoded: record.Leader{Process: "lead", Address: address, Epoch: 7}, Revision: 1})
	decode := func([]byte) (*policy.Policy, error) { return nil, fault.New(fault.BadInput, "none") }
	desk := New(Config{
		Store: relay.New(e.store, health, pool), Direct: e.store, Health: health, Pool: pool, Leader: followed, Dispatcher: e.suspected,
		Policies: NewPolicies(e.store, "config", decode, logging.Discard()), Logger: logging.Discard(), Metrics: metric.New(),
	})
	e.Pinger = NewPinger(desk, Self{Process: "self", Address: "self", Strength: 0.8}, e.suspected)
	return e
}

// pinged pings once and returns the error.
func (e *entry) pinged(t *testing.T) error {
	t.Helper()
	_, err := e.ping(t.Context())
	if err != nil {
		e.lost(t.Context(), err)
	}
	return err
}

// TestCallersAreRefusedOnceStoreAnswersNeitherLeadNorEntry failed while each entry found out by time-outs of its callers.
func TestCallersAreRefusedOnceStoreAnswersNeitherLeadNorEntry(t *testing.T) {
	e := newEntry(t)
	// refuses reports whether a caller is refused without a call to the store.
	refuses := func() bool {
		before := e.store.calls()
		_, err := e.desk.config.Store.Get(t.Context(), record.LastCommitKey)
		return fault.Is(err, fault.Unavailable) && e.store.calls() == before
	}
	e.lead.set(link.PingAnswer{StoreDown: true}, nil)
	assert.NilError(t, e.pinged(t))
	assert.Assert(t, !refuses(), "the store answers this entry")
	e.store.set(true)
	assert.NilError(t, e.pinged(t))
	assert.Assert(t, refuses())
	e.store.set(false)
	assert.Assert(t, refuses(), "nothing was asked since")
	e.lead.set(link.PingAnswer{}, nil)
	assert.NilError(t, e.pinged(t))
	assert.Assert(t, !refuses())
}

// TestEntryTurnedAwayFindsTheNextLeadThroughOthers failed with the earlier lead, to which the entry kept for nine seconds.
func TestEntryTurnedAwayFindsTheNextLeadThroughOthers(t *testing.T) {
	e := newEntry(t)
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
	e.desk.config.Pool.Add([]string{listener.Addr().String()})
	e.store.set(true)
	for range 2 {
		_ = e.ask(t.Context())
	}
	e.lead.set(link.PingAnswer{}, fault.New(fault.Stale, "this entry does not lead"))
	assert.Assert(t, fault.Is(e.pinged(t), fault.Stale))
	lead, _ := e.desk.config.Leader.Value()
	assert.Equal(t, lead.Decoded.Epoch, uint64(8))
}

func TestLeadWhoseVMRefusesConnectionsIsSuspected(t *testing.T) {
	e := newEntry(t)
	assert.NilError(t, e.pinged(t))
	assert.Equal(t, e.lead.pings[0].Strength, 0.8)
	assert.Equal(t, len(e.suspected.epochs), 0)
	e.endLead()
	for e.pinged(t) == nil || len(e.suspected.epochs) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, e.suspected.epochs[0], uint64(7))
}

func TestEntryThatIsToLeadStandsForIt(t *testing.T) {
	e := newEntry(t)
	e.lead.set(link.PingAnswer{TakeOver: true}, nil)
	assert.NilError(t, e.pinged(t))
	assert.DeepEqual(t, e.suspected.epochs, []uint64{7})
}
