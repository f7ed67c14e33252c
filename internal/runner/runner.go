package runner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// Config holds what an agent needs.
type Config struct {
	VM      string
	Hall    string
	Worker  host.Worker
	Store   *relay.Store
	Pool    *relay.Pool
	Clock   *timeline.Clock
	Secret  string
	Logger  logging.Logger
	Metrics *metric.Registry
}

// Runner is the agent of one worker.
type Runner struct {
	config Config
	logger logging.Logger
	mux    *rpc.Mux
	done   chan struct{}
	// changed wakes the uplink when there is something to report, settled the hold when ends were taken note of.
	changed chan struct{}
	settled chan struct{}
	heard   chan struct{}

	// mu guards all below; no call is made while it is held.
	mu        sync.Mutex
	epoch     uint64
	session   *rpc.Peer
	permitted time.Time
	life      *life
}

// life is what the agent knows of one life of the worker.
type life struct {
	report host.Report
	// clock is the worker's clock as of read, a time at which it surely had reached that.
	clock host.Clock
	read  time.Time
	// fenced is the highest epoch that the worker has seen from this agent.
	fenced uint64
	// answered is when the worker answered last, until when its runs may go on at the latest by this clock.
	answered time.Time
	until    time.Time
	view     host.View
	views    uint64
	seen     uint64
	silent   bool
	orders   map[host.Run]*order
	// refused is the highest run of each task that was refused; an order for it that comes again is not carried out.
	refused  map[job.TaskID]int
	profiles map[host.Run]link.Profile
	paces    map[host.Run]int
	// wanted is the pace by image, presses what the lead told of the images that fill, adjusted when the paces were last
	// reckoned.
	wanted   map[string]int
	presses  map[string]map[string]float64
	adjusted time.Time
	// over is since when serving tasks have been over their targets.
	over map[host.Run]time.Time
	// felt is by how much each image was last taken to slow a serving task.
	felt map[host.Run]map[string]float64
}

// order is a start or a stop that is under way, or whose end is still to be told.
type order struct {
	start  *link.Start
	text   string
	stop   bool
	cancel context.CancelFunc
	// refused is why the worker will never run it, with the number of views taken by then.
	refused host.Refusal
	final   bool
	views   uint64
}

// New returns an agent that knows neither its worker nor its lead.
func New(config Config) *Runner {
	r := &Runner{
		config: config, logger: config.Logger, done: make(chan struct{}), changed: make(chan struct{}, 1),
		settled: make(chan struct{}, 1), heard: make(chan struct{}, 1),
	}
	r.mux = rpc.NewMux(config.Clock)
	rpc.Handle(r.mux, link.MethodOrders, r.takeOrders)
	return r
}

// Done returns the channel that is closed when Run has ended.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Run keeps the worker until ctx ends; what runs there goes on for as long as it is held.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.done)
	group, bounded := errgroup.WithContext(ctx)
	group.Go(func() error { return r.holdOn(bounded) })
	group.Go(func() error { return r.report(bounded) })
	return group.Wait()
}

// Heard takes the worker's report of itself and acknowledges it.
func (r *Runner) Heard(report host.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case r.life == nil || r.life.report.Instance != report.Instance:
		r.logger.Info("worker heard; instance=%s service=%s cpu=%d memory=%d labels=%v draining=%t",
			report.Instance, report.Service, report.Capacity.CPU, report.Capacity.Memory, report.Labels, report.Draining)
		r.life = newLife(report, now)
		wait.Wake(r.heard)
	case report.Sequence < r.life.report.Sequence:
		return true
	}
	if report.Draining && !r.life.report.Draining {
		r.logger.Info("worker drains; instance=%s remaining_ms=%d", report.Instance, report.Remaining.Milliseconds())
		wait.Wake(r.changed)
	}
	draining := r.life.report.Draining
	r.life.report = report
	r.life.report.Draining = report.Draining || draining
	return true
}

func newLife(report host.Report, now time.Time) *life {
	return &life{
		report: report, clock: report.Clock, read: now, answered: now, orders: make(map[host.Run]*order), refused: make(map[job.TaskID]int),
		profiles: make(map[host.Run]link.Profile), paces: make(map[host.Run]int),
		over: make(map[host.Run]time.Time), felt: make(map[host.Run]map[string]float64),
	}
}

// Left takes note that the worker has ended by plan.
func (r *Runner) Left(instance string) {
	r.logger.Info("worker left; instance=%s", instance)
}
