package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/gate"
	"github.com/saffronpulley/saffronpulley/internal/interference"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/ledger"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/remedy"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

// Timing holds the intervals, leases and timeouts of an agent.
type Timing struct {
	// Heartbeat is the interval of heartbeats without changes.
	Heartbeat time.Duration
	// Reconcile is the interval at which the worker is compared with the desired runs.
	Reconcile time.Duration
	// TaskLease is how long a task continues without a renewal by its agent.
	TaskLease time.Duration
	// Drain bounds the requests in flight at a planned stop.
	Drain time.Duration
	// Measure is the interval at which latency and usage are measured.
	Measure time.Duration
}

// Config holds the settings and dependencies of an agent.
type Config struct {
	ID       string
	Boot     string
	Hall     string
	Rack     int
	Secret   string
	Requests string
	Control  net.Listener
	Address  string
	Timing   Timing
	Leader   leader.Timing
	Store    store.Store
	VMs      vmlist.List
	Worker   worker.Worker
	Logger   logging.Logger
	Clock    *timeline.Clock
	Recorder *timeline.Recorder
}

// Agent manages the worker of one VM for the leader of its cell.
type Agent struct {
	Config
	gate         *gate.Gate
	mux          *rpc.Mux
	description  worker.Description
	ledger       *ledger.Ledger
	done         chan struct{}
	reconcileNow chan struct{}
	heartbeatNow chan struct{}

	mu              sync.Mutex
	ready           bool
	leaving         bool
	stopping        bool
	desired         control.Desired
	desiredReceived bool
	applied         control.Position
	runs            map[task.Run]*run
	latency         map[string]control.Latency
	usage           map[task.Run]worker.Usage
	weights         map[string]int
	evictRequested  bool
	remedies        remedy.State
	model           *interference.Model
	leader          *leader.Leader
	sent            sentState
	leaderRuns      sync.WaitGroup
}

// New returns an agent that is not running yet.
func New(config Config) *Agent {
	a := &Agent{
		Config:       config,
		gate:         gate.New(gate.Config{Secret: config.Secret, Boot: config.Boot, Clock: config.Clock}),
		done:         make(chan struct{}),
		reconcileNow: make(chan struct{}, 1),
		heartbeatNow: make(chan struct{}, 1),
		runs:         make(map[task.Run]*run),
		latency:      make(map[string]control.Latency),
		usage:        make(map[task.Run]worker.Usage),
		weights:      make(map[string]int),
		model:        interference.New(),
	}
	a.mux = a.newMux()
	return a
}

// Gate returns the gate that admits requests to the local replicas.
func (a *Agent) Gate() *gate.Gate { return a.gate }

// Done returns a channel that is closed when Run returns.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Ready reports whether the agent has adopted its worker's runs and applied the desired runs of a leader.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ready && a.applied.Epoch > 0
}

// Run runs the agent until ctx ends, then drains its requests and extends the leases of its tasks.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.done)
	if err := a.adopt(ctx); err != nil {
		return err
	}
	server := rpc.Serve(a.Control, a.Secret, a.mux, rpc.ProcessLimits())
	defer server.Close()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return a.reconcileLoop(workCtx) })
	group.Go(func() error { return a.leaderLoop(workCtx) })
	group.Go(func() error { return a.measureLoop(workCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			a.stop(workCtx)
			cancel()
		case <-workCtx.Done():
		}
		return nil
	})
	err := group.Wait()
	a.leaderRuns.Wait()
	if err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// adopt reads the worker's capacity and runs before any new run is admitted, and retries until the worker answers.
func (a *Agent) adopt(ctx context.Context) error {
	for {
		err := a.tryAdopt(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fault.Wrap(err, fault.Unavailable, "the agent stopped before the worker answered")
		}
		a.Logger.Warn("the worker does not answer; retrying: %v", err)
		store.Pause(ctx, time.Second)
	}
}

func (a *Agent) tryAdopt(ctx context.Context) error {
	description, err := a.Worker.Describe(ctx)
	if err != nil {
		return err
	}
	statuses, err := a.Worker.List(ctx)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.description = description
	a.ledger = ledger.New(description.Capacity())
	for _, s := range statuses {
		if !s.State().IsFinal() {
			a.ledger.Adopt(s.Run(), s.Size())
		}
		a.runs[s.Run()] = &run{started: true, startedAt: time.Now(), adopted: true, status: s}
	}
	if len(statuses) == 0 {
		a.gate.SetNoEarlierStart()
	}
	a.ready = true
	a.Logger.Info("adopted %d runs of worker %s", len(statuses), description.Instance())
	return nil
}

// stop refuses new requests, reports the stop to the leader, and waits for the requests in flight; tasks continue on the worker.
func (a *Agent) stop(ctx context.Context) {
	a.Logger.Info("stopping; finishing %d requests in flight", a.gate.Open())
	a.Recorder.Record(timeline.ProcessStopping, timeline.Subject{Worker: a.description.Instance()}, "the agent stops")
	a.gate.Leave()
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.heartbeatSoon()
	// Requests of entries that have not received the stop yet are refused with the error kind Leaving.
	store.Pause(ctx, leaveGrace)
	deadline := time.Now().Add(a.Timing.Drain)
	for a.gate.Open() > 0 && time.Now().Before(deadline) {
		store.Pause(ctx, drainPollInterval)
	}
	a.extendLeases(ctx)
}

const (
	leaveGrace        = 300 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

func (a *Agent) heartbeatSoon() { notify(a.heartbeatNow) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
