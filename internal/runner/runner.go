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

// Config holds the settings and dependencies of an agent.
type Config struct {
	VM   string
	Hall string
	// ClosureDelay is the time after which nothing may start in a hall that the operators have closed.
	ClosureDelay time.Duration
	// MaxRenewal is the longest lease that the worker grants its runs.
	MaxRenewal time.Duration
	Worker     host.Worker
	Store      *relay.Store
	Pool       *relay.Pool
	Clock      *timeline.Clock
	// Dial connects to the leader.
	Dial rpc.Dialer
	// Uptime is the clock of leases and hall states; it counts time spent suspended.
	Uptime boottime.Clock
	// Random returns random numbers in [0, 1) that add jitter to retries and reconnects.
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
	// reportDue signals the uplink that there is something to report, endsAcknowledged the renewal loop that ended runs were acknowledged.
	reportDue        chan struct{}
	endsAcknowledged chan struct{}
	// heartbeat signals the first report of a worker or incarnation, candidateAdded a candidate to verify.
	heartbeat      chan struct{}
	candidateAdded chan struct{}
	// startDecided signals the uplink that a start call has an outcome.
	startDecided chan struct{}
	// looking holds an element while a look is in progress.
	looking chan struct{}
	// unusableLog rate-limits the log lines about unusable reports.
	unusableLog rate.Sometimes
	// outdatedLog rate-limits the log lines about outdated reports and answers.
	outdatedLog rate.Sometimes
	// startTimeout adapts to the usual response time of starts.
	startTimeout *wait.Timeout
	// runContext ends when Run returns; orderTasks counts the goroutines that carry out orders under it.
	runContext context.Context
	orderTasks sync.WaitGroup
	// storeBackoff spreads the reads of the store while no entry answers, nextStoreRead is when the next is due; only the uplink uses them.
	storeBackoff  *wait.Backoff
	nextStoreRead time.Time

	// mu guards all fields below; no call is made while it is locked.
	mu      sync.Mutex
	epoch   uint64
	fences  fences
	session *rpc.Peer
	// agentLeaseEnd is when the agent lease expires: until then runs may continue and start.
	agentLeaseEnd boottime.Instant
	hall          hallState
	// worker is the current incarnation of the worker, nil before its first report.
	worker     *workerState
	candidates []*workerState
	ended      endedIncarnations
	lateStarts host.LateCalls[lateStart]
	// startedAt is when the agent began to run: a previous process has renewed no lease since.
	startedAt time.Time
	// leaseExpiryReported is set from a report that all leases have expired to the next report of a worker that answers: the leader has given up
	// the runs, and an order that starts one of them may still arrive.
	leaseExpiryReported bool
	// stopping is set once the agent is about to stop.
	stopping bool
	// idReused reports whether the worker has started again under an id that it had before.
	idReused bool
	crashes  crashes
}

// New returns an agent without a worker or a leader.
func New(config Config) *Runner {
	r := &Runner{
		config: config, logger: config.Logger, reportDue: make(chan struct{}, 1),
		endsAcknowledged: make(chan struct{}, 1), heartbeat: make(chan struct{}, 1), candidateAdded: make(chan struct{}, 1),
		startDecided: make(chan struct{}, 1), looking: make(chan struct{}, 1),
		startTimeout: wait.NewTimeout(minStartTimeout, host.MaxStartTimeout), unusableLog: rate.Sometimes{Interval: unusableLogInterval},
		outdatedLog: rate.Sometimes{Interval: ignoredLogInterval}, storeBackoff: wait.NewBackoff(minStoreDelay, maxStoreDelay, config.Random),
		runContext: context.Background(),
	}
	r.lateStarts = make(host.LateCalls[lateStart])
	r.mux = rpc.NewMux(config.Clock)
	rpc.Handle(r.mux, link.MethodOrders, r.handleOrders)
	return r
}

// Run serves the worker until ctx ends; its runs continue until their leases expire. No order is in progress after Run returns.
func (r *Runner) Run(ctx context.Context) error {
	group, bounded := errgroup.WithContext(ctx)
	r.mu.Lock()
	r.runContext, r.startedAt = bounded, time.Now()
	r.mu.Unlock()
	defer r.orderTasks.Wait()
	defer r.cancelOrders()
	group.Go(func() error { return r.renewLoop(bounded) })
	group.Go(func() error { return r.verifyCandidates(bounded) })
	group.Go(func() error { return r.runUplink(bounded) })
	return group.Wait()
}

// Stopping tells the leader that the agent is about to stop, so that it prefers other workers; Run goes on until its context ends.
func (r *Runner) Stopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	wait.Notify(r.reportDue)
}

// cancelOrders cancels all orders in progress.
func (r *Runner) cancelOrders() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil {
		r.worker.cancelOrders()
	}
	r.worker = nil
}

// Reported applies a report of the worker and returns whether to acknowledge it.
func (r *Runner) Reported(report host.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case r.ended.has(report.Incarnation):
		r.logger.Warn("report of an ended incarnation ignored; instance=%s sequence=%d", report.Incarnation, report.Sequence)
		return true
	case r.worker == nil:
		r.logger.Info("first report of a worker received; instance=%s service=%s cpu=%d memory=%d labels=%v draining=%t",
			report.Incarnation, report.Service, report.Capacity.CPU, report.Capacity.Memory, report.Labels, report.Draining)
		r.worker = r.newWorker(report, now)
		wait.Notify(r.heartbeat)
	case r.worker.id != report.Incarnation:
		r.addCandidate(report, now)
		return true
	case r.worker.report.Service != report.Service && r.worker.unknownService:
		// An unknown sender may have reported under this incarnation before the worker itself did.
		r.logger.Warn("service of the first report replaced by that of the worker; instance=%s service=%s reported=%s",
			report.Incarnation, report.Service, r.worker.report.Service)
		r.worker.report, r.worker.unknownService = report, false
		wait.Notify(r.reportDue)
	case r.worker.report.Service != report.Service:
		r.unusableLog.Do(func() {
			r.logger.Warn("report of another service under the worker's incarnation ignored; instance=%s service=%s known=%s",
				report.Incarnation, report.Service, r.worker.report.Service)
		})
		return false
	}
	r.updateReport(report)
	return true
}

// updateReport stores a newer report of the current incarnation.
func (r *Runner) updateReport(report host.Report) {
	previous := r.worker.report
	if !r.worker.updateReport(report) {
		r.logOutdated("report", report.Incarnation, int64(report.Sequence), int64(previous.Sequence)) //nolint:gosec // both are counts
		return
	}
	if report.Draining && !previous.Draining {
		r.logger.Info("worker is draining; instance=%s remaining_ms=%d", report.Incarnation, report.Remaining.Milliseconds())
		wait.Notify(r.reportDue)
	}
	if report.Capacity != previous.Capacity {
		r.logger.Info("worker capacity changed; instance=%s before=%v now=%v", report.Incarnation, previous.Capacity, report.Capacity)
		wait.Notify(r.reportDue)
	}
}

// unusableLogInterval is the minimum time between log lines about unusable reports; all are counted.
const unusableLogInterval = 2 * time.Second

// Unusable counts and logs a report that cannot be used; the state of the worker is unchanged.
func (r *Runner) Unusable(instance string, reason error) {
	r.config.Metrics.Counter("agent.unusable_reports").Inc(1)
	r.unusableLog.Do(func() {
		r.logger.Warn("unusable report ignored; instance=%q reason=%v", instance, reason)
	})
}

// Left records that an incarnation of the worker has deregistered: its end is planned.
func (r *Runner) Left(id incarnation.ID) {
	r.logger.Info("worker left; instance=%s", id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil && r.worker.id == id {
		r.worker.deregistered = true
	}
}
