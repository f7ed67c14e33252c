package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/runner"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// pipeNetwork is an in-memory network that maps names to listeners.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
}

// listener returns the connections to a name.
func (p *pipeNetwork) listener(address string) chan net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listeners[address] == nil {
		p.listeners[address] = make(chan net.Conn)
	}
	return p.listeners[address]
}

func (p *pipeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.listener(address) <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipeListener accepts the connections to one name until it is closed.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

func (l pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (pipeListener) Addr() net.Addr { return &net.IPAddr{} }

// simulation is a real leader and real agents with model workers, all in fake time.
type simulation struct {
	t       *testing.T
	ctx     context.Context
	store   *kvtest.Store
	network *pipeNetwork
	workers []*modelWorker
	agents  []*runner.Runner
	leaders int
	// depose ends the current leader; killAgent ends the agent of each VM.
	depose    func()
	killAgent []func()
	uptime    *boottimetest.Clock
	// staleLeader is the record of the leader that agents read until staleLeaderUntil.
	staleLeader      kv.Item
	staleLeaderUntil time.Time
	// leaderCut cuts the leader from the store; cutAgent is the VM whose agent reads the outdated record at any time, -1 for none.
	leaderCut *atomic.Bool
	cutAgent  int
	// maxRenewal is the longest lease that a worker grants; vmNetworks are the connections of the VMs.
	maxRenewal         time.Duration
	vmNetworks         []*vmNetwork
	taskTime           time.Duration
	longRunning        bool
	violations         []string
	done               map[host.Run]bool
	completionRecorded bool
}

const (
	// simulatedDowntime is how long a crashed worker does not answer, simulatedHeartbeatInterval the time between heartbeats.
	simulatedDowntime          = 600 * time.Millisecond
	simulatedHeartbeatInterval = 700 * time.Millisecond
	// simulatedStep is the time between two checks of a worker for ended runs.
	simulatedStep = 5 * time.Millisecond
)

func newSimulation(ctx context.Context, t *testing.T, vms int, longRunning bool) *simulation {
	s := &simulation{
		t: t, ctx: ctx, store: kvtest.New(), network: &pipeNetwork{listeners: make(map[string]chan net.Conn)}, uptime: &boottimetest.Clock{}, longRunning: longRunning,
		maxRenewal: 6 * time.Second, cutAgent: -1, taskTime: 400 * time.Millisecond, done: make(map[host.Run]bool),
	}
	for n := range vms {
		s.vmNetworks = append(s.vmNetworks, &vmNetwork{network: s.network})
		s.workers = append(s.workers, newModelWorker(s, fmt.Sprintf("i-%d", n)))
		s.agents, s.killAgent = append(s.agents, nil), append(s.killAgent, nil)
		s.startAgent(n)
		go s.workers[n].serve(ctx, n)
	}
	s.elect()
	return s
}

// elect replaces the leader by another process.
func (s *simulation) elect() {
	if s.depose != nil {
		s.depose()
	}
	s.store.RemoveLeasedKeys()
	s.leaders++
	name := fmt.Sprintf("e%d", s.leaders)
	s.leaderCut = new(atomic.Bool)
	d := newTestEntry(name, cutStore{s.store, s.leaderCut})
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	d.Register(mux)
	server := rpc.Serve(pipeListener{conns: s.network.listener(name), closed: make(chan struct{})}, "", mux, rpc.ProcessLimits())
	ctx, cancel := context.WithCancel(s.ctx)
	leader, err := d.tryAcquire(ctx)
	assert.NilError(s.t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.serveTerm(ctx, leader)
	}()
	s.depose = func() {
		cancel()
		server.Close()
		<-ended
	}
}

// end ends all processes; cancel ends the context of the simulation.
func (s *simulation) end(cancel context.CancelFunc) {
	cancel()
	s.depose()
	synctest.Wait()
}

// cutStore is a store that leaves calls unanswered while it is cut.
type cutStore struct {
	*kvtest.Store
	cut *atomic.Bool
}

// Get implements kv.Store.
func (s cutStore) Get(ctx context.Context, key string) (kv.Item, error) {
	if s.cut.Load() {
		return kv.Item{}, fault.New(fault.Unavailable, "cut")
	}
	return s.Store.Get(ctx, key)
}

// Commit implements kv.Store.
func (s cutStore) Commit(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
	if s.cut.Load() {
		return 0, fault.New(fault.Unavailable, "cut")
	}
	return s.Store.Commit(ctx, txn)
}

// electBeside lets another process lead while the leader goes on without the store. The agent beside the task's run goes on following it; the
// others are restarted, since there are no entries that tell them of the next leader.
func (s *simulation) electBeside() {
	item, err := s.store.Get(s.ctx, record.LeaderKey)
	assert.NilError(s.t, err)
	s.leaderCut.Store(true)
	s.staleLeader, s.cutAgent = item, s.runningOn()
	depose := s.depose
	s.depose = nil
	s.elect()
	deposeNext := s.depose
	s.depose = func() {
		depose()
		deposeNext()
	}
	for vm := range s.agents {
		if vm != s.cutAgent {
			s.killAgent[vm]()
			s.startAgent(vm)
		}
	}
}

// startAgent starts the agent of a VM, at first or after killAgent.
func (s *simulation) startAgent(n int) {
	health := &kv.Health{}
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	pool := relay.NewPool("", "", mux, nil)
	r := runner.New(runner.Config{
		VM: fmt.Sprintf("vm%d", n), ClosureDelay: testClosureDelay, MaxRenewal: s.maxRenewal, Worker: s.workers[n],
		Store: relay.New(staleLeaderStore{s.store, s, n}, health, pool), Pool: pool, Clock: timeline.NewClock(time.Now), Dial: s.vmNetworks[n].dial,
		Uptime: s.uptime, Random: func() float64 { return 0.5 }, Logger: logging.Discard(), Metrics: metric.New(),
	})
	ctx, cancel := context.WithCancel(s.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	s.agents[n] = r
	s.killAgent[n] = func() {
		cancel()
		<-ended
	}
}

// submitJob stores an accepted job of one task.
func (s *simulation) submitJob() {
	spec := job.Spec{Text: "x", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1000, Memory: 1000}, Estimate: s.taskTime, LongRunning: s.longRunning}}}
	value, err := job.Encode(spec, job.Queue{Service: testService, Attempts: 3, Stretch: 2}, time.Now())
	assert.NilError(s.t, err)
	_, err = s.store.Commit(s.ctx, kv.Txn{Puts: []kv.Put{{Key: record.JobKey(testJob), Value: value}}})
	assert.NilError(s.t, err)
}

// state returns the stored state of the job.
func (s *simulation) state() job.State {
	item, err := s.store.Get(s.ctx, record.ProgressKey(testJob))
	if err != nil || item.Revision() == 0 {
		return job.Queued
	}
	state, err := job.DecodeState(item.Value())
	assert.NilError(s.t, err)
	return state
}

// running counts the runs of the task on all workers.
func (s *simulation) running() int {
	count := 0
	for _, w := range s.workers {
		if w.run != nil {
			count++
		}
	}
	return count
}

// runningOn returns the VM whose worker runs the task.
func (s *simulation) runningOn() int {
	return slices.IndexFunc(s.workers, func(w *modelWorker) bool { return w.run != nil })
}

func (s *simulation) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
