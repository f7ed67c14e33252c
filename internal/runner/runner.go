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
	// reportDue wakes the uplink when there is something to report, settled the hold when ends were taken note of.
	reportDue        chan struct{}
	endsAcknowledged chan struct{}
	// heartbeat wakes what waits for the worker to report, nominated what asks it which incarnation it is.
	heartbeat      chan struct{}
	candidateAdded chan struct{}
	// unusableLog bounds the log lines about reports that cannot be used.
	unusableLog rate.Sometimes
	// outdatedLog bounds those about what came too late.
	outdatedLog rate.Sometimes
	// startTimeout goes by how long starts usually take to be answered.
	startTimeout *wait.Timeout
	// runContext ends with Run; work counts the orders under way, which hang on it.
	runContext context.Context
	orderTasks sync.WaitGroup
	// storeBackoff spreads the reads of the store where no entry answers, storeNext is when the next is due; only report uses them.
	storeBackoff  *wait.Backoff
	nextStoreRead time.Time

	// mu guards all below; no call is made while it is held.
	mu      sync.Mutex
	epoch   uint64
	fences  fences
	session *rpc.Peer
	// agentLeaseEnd is until when the worker may go on and be given work.
	agentLeaseEnd boottime.Instant
	hall          hallState
	// worker is the present incarnation of the worker, nil before it has reported.
	worker     *workerState
	candidates []*workerState
	ended      endedIncarnations
	lateStarts host.LateCalls[lateStart]
	// idReused says that the worker has started again under an id that it had before.
	idReused bool
	crashes  crashes
}

// New returns an agent that knows neither its worker nor its lead.
func New(config Config) *Runner {
	r := &Runner{
		config: config, logger: config.Logger, reportDue: make(chan struct{}, 1),
		endsAcknowledged: make(chan struct{}, 1), heartbeat: make(chan struct{}, 1), candidateAdded: make(chan struct{}, 1),
		startTimeout: wait.NewTimeout(minStartTimeout, maxStartTimeout), unusableLog: rate.Sometimes{Interval: unusableLogInterval},
		outdatedLog: rate.Sometimes{Interval: ignoredLogInterval}, storeBackoff: wait.NewBackoff(minStoreDelay, maxStoreDelay, config.Random),
		runContext: context.Background(),
	}
	r.lateStarts = make(host.LateCalls[lateStart])
	r.mux = rpc.NewMux(config.Clock)
	rpc.Handle(r.mux, link.MethodOrders, r.handleOrders)
	return r
}

// Run keeps the worker until ctx ends; what runs there goes on for as long as it is held. No order is under way once it returns.
func (r *Runner) Run(ctx context.Context) error {
	group, bounded := errgroup.WithContext(ctx)
	r.mu.Lock()
	r.runContext = bounded
	r.mu.Unlock()
	defer r.orderTasks.Wait()
	defer r.cancelOrders()
	group.Go(func() error { return r.renewLoop(bounded) })
	group.Go(func() error { return r.verifyCandidates(bounded) })
	group.Go(func() error { return r.runUplink(bounded) })
	return group.Wait()
}

// cancelOrders ends all orders under way.
func (r *Runner) cancelOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil {
		r.worker.cancelOrders()
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
		r.addCandidate(report, now)
		return true
	case r.worker.report.Service != report.Service && r.worker.unknownService:
		// An unknown sender may have reported under the name of the incarnation before it did itself.
		r.logger.Warn("the worker is of another service than was reported first; instance=%s service=%s reported=%s",
			report.Incarnation, report.Service, r.worker.report.Service)
		r.worker.report, r.worker.unknownService = report, false
		wait.Notify(r.reportDue)
	case r.worker.report.Service != report.Service:
		r.unusableLog.Do(func() {
			r.logger.Warn("report of another service under the worker's name is ignored; instance=%s service=%s known=%s",
				report.Incarnation, report.Service, r.worker.report.Service)
		})
		return false
	}
	r.updateReport(report)
	return true
}

// updateReport stores a newer report of the present incarnation.
func (r *Runner) updateReport(report host.Report) {
	before := r.worker.report
	if !r.worker.updateReport(report) {
		r.logOutdated("report", report.Incarnation, int64(report.Sequence), int64(before.Sequence)) //nolint:gosec // both are counts
		return
	}
	if report.Draining && !before.Draining {
		r.logger.Info("worker drains; instance=%s remaining_ms=%d", report.Incarnation, report.Remaining.Milliseconds())
		wait.Notify(r.reportDue)
	}
	if report.Capacity != before.Capacity {
		r.logger.Info("worker has another room; instance=%s before=%v now=%v", report.Incarnation, before.Capacity, report.Capacity)
		wait.Notify(r.reportDue)
	}
}

// unusableLogInterval is how often reports that cannot be used are logged at the most; the others are counted.
const unusableLogInterval = 2 * time.Second

// Unusable records a report that names no worker to use; what is known under its name stays as it is.
func (r *Runner) Unusable(instance string, reason error) {
	r.config.Metrics.Counter("agent.unusable_reports").Inc(1)
	r.unusableLog.Do(func() {
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
