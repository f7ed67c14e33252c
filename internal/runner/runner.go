package runner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
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
	// LongestHold is the longest time for which the worker lets itself be held.
	LongestHold time.Duration
	Worker      host.Worker
	Store       *relay.Store
	Pool        *relay.Pool
	Clock       *timeline.Clock
	// Dial connects to the leader.
	Dial rpc.Dialer
	// Uptime is the clock of what the agent was permitted and told, which counts suspensions.
	Uptime boottime.Clock
	// Random returns random numbers from 0 up to 1, which spread what all agents repeat.
	Random  func() float64
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
	// heartbeat wakes what waits for the worker to report, nominated what asks it which incarnation it is.
	heartbeat chan struct{}
	nominated chan struct{}
	// unusable bounds the log lines about reports that cannot be used.
	unusable rate.Sometimes
	// overtaken bounds those about what came too late.
	overtaken rate.Sometimes
	// patience goes by how long starts usually take to be answered.
	patience *wait.Timeout
	// lifetime ends with Run; work counts the orders under way, which hang on it.
	lifetime context.Context
	work     sync.WaitGroup
	// storePause spreads the reads of the store where no entry answers, storeNext is when the next is due; only report uses them.
	storePause *wait.Backoff
	storeNext  time.Time

	// mu guards all below; no call is made while it is held.
	mu      sync.Mutex
	epoch   uint64
	fences  fences
	session *rpc.Peer
	// permitted is until when the worker may go on and be given work.
	permitted boottime.Instant
	hall      hallState
	// worker is the present incarnation of the worker, nil before it has reported.
	worker     *workerState
	candidates []*workerState
	ended      endedIncarnations
	late       host.LateCalls[lateStart]
	// returns says that the worker has started again under an id that it had before.
	returns bool
	crashes crashes
}

// New returns an agent that knows neither its worker nor its lead.
func New(config Config) *Runner {
	r := &Runner{
		config: config, logger: config.Logger, changed: make(chan struct{}, 1),
		settled: make(chan struct{}, 1), heartbeat: make(chan struct{}, 1), nominated: make(chan struct{}, 1),
		patience: wait.NewTimeout(startLeast, startMost), unusable: rate.Sometimes{Interval: unusableEvery},
		overtaken: rate.Sometimes{Interval: sightEvery}, storePause: wait.NewBackoff(storeFirst, storeLast, config.Random),
		lifetime: context.Background(),
	}
	r.late = make(host.LateCalls[lateStart])
	r.mux = rpc.NewMux(config.Clock)
	rpc.Handle(r.mux, link.MethodOrders, r.takeOrders)
	return r
}

// Run keeps the worker until ctx ends; what runs there goes on for as long as it is held. No order is under way once it returns.
func (r *Runner) Run(ctx context.Context) error {
	group, bounded := errgroup.WithContext(ctx)
	r.mu.Lock()
	r.lifetime = bounded
	r.mu.Unlock()
	defer r.work.Wait()
	defer r.abandon()
	group.Go(func() error { return r.renewLoop(bounded) })
	group.Go(func() error { return r.verify(bounded) })
	group.Go(func() error { return r.report(bounded) })
	return group.Wait()
}

// abandon ends all orders under way.
func (r *Runner) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil {
		r.worker.drop()
	}
	r.worker = nil
}

// Reported takes the worker's report of itself and reports whether it is acknowledged.
func (r *Runner) Reported(report host.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case r.ended.has(report.Incarnation):
		r.logger.Warn("report of an ended incarnation is ignored; instance=%s sequence=%d", report.Incarnation, report.Sequence)
		return true
	case r.worker == nil:
		r.logger.Info("worker reports first; instance=%s service=%s cpu=%d memory=%d labels=%v draining=%t",
			report.Incarnation, report.Service, report.Capacity.CPU, report.Capacity.Memory, report.Labels, report.Draining)
		r.worker = newWorkerState(report, now)
		wait.Notify(r.heartbeat)
	case r.worker.id != report.Incarnation:
		r.nominate(report, now)
		return true
	case r.worker.report.Service != report.Service && r.worker.foreign:
		// An unknown sender may have reported under the name of the incarnation before it did itself.
		r.logger.Warn("the worker is of another service than was reported first; instance=%s service=%s reported=%s",
			report.Incarnation, report.Service, r.worker.report.Service)
		r.worker.report, r.worker.foreign = report, false
		wait.Notify(r.changed)
	case r.worker.report.Service != report.Service:
		r.unusable.Do(func() {
			r.logger.Warn("report of another service under the worker's name is ignored; instance=%s service=%s known=%s",
				report.Incarnation, report.Service, r.worker.report.Service)
		})
		return false
	}
	r.renew(report)
	return true
}

// renew stores a newer report of the present incarnation.
func (r *Runner) renew(report host.Report) {
	before := r.worker.report
	if !r.worker.renew(report) {
		r.logOvertaken("report", report.Incarnation, int64(report.Sequence), int64(before.Sequence)) //nolint:gosec // both are counts
		return
	}
	if report.Draining && !before.Draining {
		r.logger.Info("worker drains; instance=%s remaining_ms=%d", report.Incarnation, report.Remaining.Milliseconds())
		wait.Notify(r.changed)
	}
	if report.Capacity != before.Capacity {
		r.logger.Info("worker has another room; instance=%s before=%v now=%v", report.Incarnation, before.Capacity, report.Capacity)
		wait.Notify(r.changed)
	}
}

// unusableEvery is how often reports that cannot be used are logged at the most; the others are counted.
const unusableEvery = 2 * time.Second

// Unusable records a report that names no worker to use; what is known under its name stays as it is.
func (r *Runner) Unusable(instance string, reason error) {
	r.config.Metrics.Counter("agent.unusable_reports").Inc(1)
	r.unusable.Do(func() {
		r.logger.Warn("report that cannot be used is ignored; instance=%q reason=%v", instance, reason)
	})
}

// Left records that an incarnation of the worker has ended by plan.
func (r *Runner) Left(id incarnation.ID) {
	r.logger.Info("worker left; instance=%s", id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil && r.worker.id == id {
		r.worker.left = true
	}
}
