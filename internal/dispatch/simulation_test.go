package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
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
type pipeNetwork map[string]chan net.Conn

func (p pipeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p[address] <- far:
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

// simulation is a real leader and real agents with model workers, all in synthetic time.
type simulation struct {
	t       *testing.T
	ctx     context.Context
	store   *kvtest.Store
	network pipeNetwork
	workers []*modelWorker
	agents  []*runner.Runner
	leaders int
	// depose ends the current leader; killAgent ends the agent of each VM.
	depose             func()
	killAgent          []func()
	uptime             *boottimetest.Clock
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
	p := &simulation{
		t: t, ctx: ctx, store: kvtest.New(), network: make(pipeNetwork), uptime: &boottimetest.Clock{}, longRunning: longRunning,
		taskTime: 400 * time.Millisecond, done: make(map[host.Run]bool),
	}
	for n := range vms {
		p.workers = append(p.workers, newModelWorker(p, fmt.Sprintf("i-%d", n)))
		p.agents, p.killAgent = append(p.agents, nil), append(p.killAgent, nil)
		p.startAgent(n)
		go p.workers[n].serve(ctx, n)
	}
	p.elect()
	return p
}

// elect replaces the leader by another process.
func (p *simulation) elect() {
	if p.depose != nil {
		p.depose()
	}
	p.store.RemoveLeasedKeys()
	p.leaders++
	name := fmt.Sprintf("e%d", p.leaders)
	d := newTestEntry(name, p.store)
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	d.Register(mux)
	p.network[name] = make(chan net.Conn)
	server := rpc.Serve(pipeListener{conns: p.network[name], closed: make(chan struct{})}, "", mux, rpc.ProcessLimits())
	ctx, cancel := context.WithCancel(p.ctx)
	leader, err := d.tryAcquire(ctx)
	assert.NilError(p.t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.serveTerm(ctx, leader)
	}()
	p.depose = func() {
		cancel()
		server.Close()
		<-ended
	}
}

// startAgent starts the agent of a VM, at first or after killAgent.
func (p *simulation) startAgent(n int) {
	health := &kv.Health{}
	mux := rpc.NewMux(timeline.NewClock(time.Now))
	pool := relay.NewPool("", "", mux, nil)
	r := runner.New(runner.Config{
		VM: fmt.Sprintf("vm%d", n), ClosureDelay: testClosedWithin, MaxRenewal: 6 * time.Second, Worker: p.workers[n],
		Store: relay.New(p.store, health, pool), Pool: pool, Clock: timeline.NewClock(time.Now), Dial: p.network.dial,
		Uptime: p.uptime, Random: func() float64 { return 0.5 }, Logger: logging.Discard(), Metrics: metric.New(),
	})
	ctx, cancel := context.WithCancel(p.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = r.Run(ctx)
	}()
	p.agents[n] = r
	p.killAgent[n] = func() {
		cancel()
		<-ended
	}
}

// submitJob stores an accepted job of one task.
func (p *simulation) submitJob() {
	spec := job.Spec{Text: "x", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 1000, Memory: 1000}, Estimate: p.taskTime, LongRunning: p.longRunning}}}
	value, err := job.Encode(spec, job.Queue{Service: testService, Attempts: 3, Stretch: 2}, time.Now())
	assert.NilError(p.t, err)
	_, err = p.store.Commit(p.ctx, kv.Txn{Puts: []kv.Put{{Key: record.JobKey(testJob), Value: value}}})
	assert.NilError(p.t, err)
}

// state returns the stored state of the job.
func (p *simulation) state() job.State {
	item, err := p.store.Get(p.ctx, record.ProgressKey(testJob))
	if err != nil || item.Revision() == 0 {
		return job.Queued
	}
	state, err := job.DecodeState(item.Value())
	assert.NilError(p.t, err)
	return state
}

// running counts the runs of the task on all workers.
func (p *simulation) running() int {
	count := 0
	for _, w := range p.workers {
		if w.run != nil {
			count++
		}
	}
	return count
}

func (p *simulation) recordViolation(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}
