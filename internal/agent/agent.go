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

// Timing holds the waits of an agent.
type Timing struct {
	// Heartbeat is how often the lead is told that nothing changed.
	Heartbeat time.Duration
	// Reconcile is how often the worker is compared with what is wanted.
	Reconcile time.Duration
	// TaskLease is how long a task runs on when its agent does not renew it.
	TaskLease time.Duration
	// Drain is how long requests in flight may take at a planned stop.
	Drain time.Duration
	// Measure is how often latency and usage are looked at.
	Measure time.Duration
}

// Config is what an agent needs of its process.
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

// Agent is the process beside an endpoint.
type Agent struct {
	Config
	gate        *gate.Gate
	mux         *rpc.Mux
	description worker.Description
	ledger      *ledger.Ledger
	done        chan struct{}
	poke        chan struct{}
	beatNow     chan struct{}

	mu       sync.Mutex
	ready    bool
	leaving  bool
	stopping bool
	desired  control.Desired
	fresh    bool
	applied  control.Position
	runs     map[task.Run]*run
	latency  map[string]control.Latency
	usage    map[task.Run]worker.Usage
	weights  map[string]int
	evict    bool
	remedies remedy.State
	model    *interference.Model
	lead     *leader.Leader
	sent     sentState
	leading  sync.WaitGroup
}

// New returns an agent that has not begun.
func New(config Config) *Agent {
	a := &Agent{
		Config:  config,
		gate:    gate.New(gate.Config{Secret: config.Secret, Boot: config.Boot, Clock: config.Clock}),
		done:    make(chan struct{}),
		poke:    make(chan struct{}, 1),
		beatNow: make(chan struct{}, 1),
		runs:    make(map[task.Run]*run),
		latency: make(map[string]control.Latency),
		usage:   make(map[task.Run]worker.Usage),
		weights: make(map[string]int),
		model:   interference.New(),
	}
	a.mux = a.newMux()
	return a
}

// Gate returns the agent's side of the request path.
func (a *Agent) Gate() *gate.Gate { return a.gate }

// Done returns the channel that is closed when the agent has ended.
func (a *Agent) Done() <-chan struct{} { return a.done }

// Ready reports whether the agent knows its worker and has heard a lead.
func (a *Agent) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ready && a.applied.Epoch > 0
}

// Run works until ctx ends, and then leaves its requests and its tasks in good order.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.done)
	if err := a.adopt(ctx); err != nil {
		return err
	}
	server := rpc.Serve(a.Control, a.Secret, a.mux, rpc.ProcessLimits())
	defer server.Close()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return a.reconcileLoop(work) })
	group.Go(func() error { return a.uplinkLoop(work) })
	group.Go(func() error { return a.measureLoop(work) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			a.stop(work)
			cancel()
		case <-work.Done():
		}
		return nil
	})
	err := group.Wait()
	a.leading.Wait()
	if err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// adopt reads what the worker has and runs before anything is admitted.
func (a *Agent) adopt(ctx context.Context) error {
	for {
		err := a.tryAdopt(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return fault.Wrap(err, fault.Unavailable, "stopped before the worker answered")
		}
		a.Logger.Warn("the worker does not answer yet: %v", err)
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
		a.runs[s.Run()] = &run{started: true, began: time.Now(), adopted: true, status: s}
	}
	if len(statuses) == 0 {
		a.gate.SetFresh()
	}
	a.ready = true
	a.Logger.Info("adopted %d runs of worker %s", len(statuses), description.Instance())
	return nil
}

// stop refuses new requests, tells the lead, and waits for those in flight; tasks stay with the worker.
func (a *Agent) stop(ctx context.Context) {
	a.Logger.Info("stopping, and finishing %d requests", a.gate.Open())
	a.Recorder.Record(timeline.ProcessStopping, timeline.Subject{Worker: a.description.Instance()}, "the agent stops")
	a.gate.Leave()
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.beatSoon()
	// Entries that have not heard of the stop get a typed refusal in the meantime.
	store.Pause(ctx, leaveGrace)
	end := time.Now().Add(a.Timing.Drain)
	for a.gate.Open() > 0 && time.Now().Before(end) {
		store.Pause(ctx, drainPoll)
	}
	a.extendLeases(ctx)
}

const (
	leaveGrace = 300 * time.Millisecond
	drainPoll  = 20 * time.Millisecond
)

func (a *Agent) beatSoon() { notify(a.beatNow) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
