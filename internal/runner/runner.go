package runner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/host"
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
	VM   string
	Hall string
	// ClosedWithin is the time after which nothing may start in a hall that the operators have closed.
	ClosedWithin time.Duration
	Worker       host.Worker
	Store        *relay.Store
	Pool         *relay.Pool
	Clock        *timeline.Clock
	// Uptime is the clock of what the agent was permitted and told, which counts suspensions.
	Uptime  boottime.Clock
	Secret  string
	Logger  logging.Logger
	Metrics *metric.Registry
}

// Runner is the agent of one worker.
type Runner struct {
	config Config
	logger logging.Logger
	mux    *rpc.Mux
	// changed wakes the uplink when there is something to report, settled the hold when ends were taken note of.
	changed chan struct{}
	settled chan struct{}
	heard   chan struct{}
	// claimed wakes what finds out which life of the worker is there.
	claimed chan struct{}
	// unusable bounds the log lines about reports that cannot be used.
	unusable rate.Sometimes
	// overtaken bounds those about what came too late.
	overtaken rate.Sometimes
	// patience goes by how long starts usually take to be answered.
	patience *wait.Patience

	// mu guards all below; no call is made while it is held.
	mu      sync.Mutex
	epoch   uint64
	session *rpc.Peer
	// permitted is until when the worker may go on and be given work.
	permitted boottime.Instant
	hall      hallState
	life      *life
	lives     lives
	crashes   crashes
}

// New returns an agent that knows neither its worker nor its lead.
func New(config Config) *Runner {
	r := &Runner{
		config: config, logger: config.Logger, changed: make(chan struct{}, 1),
		settled: make(chan struct{}, 1), heard: make(chan struct{}, 1), claimed: make(chan struct{}, 1),
		patience: wait.NewPatience(startLeast, startMost), unusable: rate.Sometimes{Interval: unusableEvery},
		overtaken: rate.Sometimes{Interval: sightEvery},
	}
	r.mux = rpc.NewMux(config.Clock)
	rpc.Handle(r.mux, link.MethodOrders, r.takeOrders)
	return r
}

// Run keeps the worker until ctx ends; what runs there goes on for as long as it is held.
func (r *Runner) Run(ctx context.Context) error {
	group, bounded := errgroup.WithContext(ctx)
	group.Go(func() error { return r.holdOn(bounded) })
	group.Go(func() error { return r.verify(bounded) })
	group.Go(func() error { return r.report(bounded) })
	return group.Wait()
}

// Heard takes the worker's report of itself and reports whether it is acknowledged.
func (r *Runner) Heard(report host.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case r.lives.isOver(report.Instance):
		r.logger.Warn("report of an earlier life is ignored; instance=%s sequence=%d", report.Instance, report.Sequence)
		return true
	case r.life == nil:
		r.logger.Info("worker heard; instance=%s service=%s cpu=%d memory=%d labels=%v draining=%t",
			report.Instance, report.Service, report.Capacity.CPU, report.Capacity.Memory, report.Labels, report.Draining)
		r.life = newLife(report, now)
		wait.Wake(r.heard)
	case r.life.instance != report.Instance:
		r.claim(report, now)
		return true
	case r.life.report.Service != report.Service && r.life.foreign:
		// Somebody else may have reported under the name of the life before it did itself.
		r.logger.Warn("the worker is of another service than was reported first; instance=%s service=%s reported=%s",
			report.Instance, report.Service, r.life.report.Service)
		r.life.report, r.life.foreign = report, false
		wait.Wake(r.changed)
	case r.life.report.Service != report.Service:
		r.unusable.Do(func() {
			r.logger.Warn("report of another service under the worker's name is ignored; instance=%s service=%s known=%s",
				report.Instance, report.Service, r.life.report.Service)
		})
		return false
	}
	r.renew(report)
	return true
}

// renew takes a newer report of the life that stands.
func (r *Runner) renew(report host.Report) {
	before := r.life.report
	if !r.life.renew(report) {
		r.logOvertaken("report", report.Instance, int64(report.Sequence), int64(before.Sequence)) //nolint:gosec // both are counts
		return
	}
	if report.Draining && !before.Draining {
		r.logger.Info("worker drains; instance=%s remaining_ms=%d", report.Instance, report.Remaining.Milliseconds())
		wait.Wake(r.changed)
	}
	if report.Capacity != before.Capacity {
		r.logger.Info("worker has another room; instance=%s before=%v now=%v", report.Instance, before.Capacity, report.Capacity)
		wait.Wake(r.changed)
	}
}

// unusableEvery is how often reports that cannot be used are logged at the most; the others are counted.
const unusableEvery = 2 * time.Second

// Unusable takes note of a report that names no worker to use; whatever stands under its name stays as it is.
func (r *Runner) Unusable(instance string, reason error) {
	r.config.Metrics.Counter("agent.unusable_reports").Inc(1)
	r.unusable.Do(func() {
		r.logger.Warn("report that cannot be used is ignored; instance=%q reason=%v", instance, reason)
	})
}

// Left takes note that the worker has ended by plan.
func (r *Runner) Left(instance string) {
	r.logger.Info("worker left; instance=%s", instance)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != nil && r.life.instance == instance {
		r.life.left = true
	}
}
