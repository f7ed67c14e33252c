package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/policy"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// Policies returns the newest configuration and accepts configurations from other processes.
type Policies interface {
	// Newest returns the newest configuration, nil before there is one.
	Newest() *policy.Policy
	// Offer returns the newest configuration in its stored form.
	Offer() link.Offer
	// Accept adopts a configuration unless the current one is newer.
	Accept(offer link.Offer)
}

// Features are scheduling features that a deployment's settings switch on; without them decisions need no state about
// workers, run times or short work beyond the current runs.
type Features struct {
	// WorkerHealth excludes workers on which tasks of several jobs fail and protects tasks on their last attempt.
	WorkerHealth bool
	// RunTimes replaces the estimates of jobs by learned run times.
	RunTimes bool
	// ShortReserve keeps capacity free for short work when long-running tasks could take all of it.
	ShortReserve bool
}

// Config holds the identity and the dependencies of a dispatcher.
type Config struct {
	Process string
	Boot    string
	Address string
	// Strength is the processor share of the VM in cores; the entry with the largest share campaigns first.
	Strength float64
	Store    kv.Store
	// Health tracks whether the process reaches the store.
	Health   *kv.Health
	Leader   *follow.Follower[record.Leader]
	Policies Policies
	// Closures tracks the halls that the operators have closed.
	Closures *hall.Closures
	Logger   logging.Logger
	Metrics  *metric.Registry
	// Advisor decides about the workers of advised queues; it is nil if the platform has no such service.
	Advisor Advisor
	// Features are the scheduling features that are switched on.
	Features Features
	// Uptime is the clock of agent leases and of leadership; it includes the time that the system was suspended.
	Uptime boottime.Clock
	// MaxRenewal is the longest lease that a worker grants its runs.
	MaxRenewal time.Duration
}

// Dispatcher campaigns for leadership and runs the terms of its process.
type Dispatcher struct {
	config       Config
	logger       logging.Logger
	term         atomic.Pointer[term]
	done         chan struct{}
	backoffUntil atomic.Int64
	// suspectedLeader is the leader that this entry may replace before its lease ends.
	suspectedLeader  atomic.Pointer[suspectedLeader]
	suspicionChanged chan struct{}
	// ranking is the rank of this entry among the candidates, as last received from a leader.
	ranking atomic.Pointer[ranking]
}

// New returns a dispatcher that is not the leader yet.
func New(config Config) *Dispatcher {
	d := &Dispatcher{config: config, logger: config.Logger, done: make(chan struct{}), suspicionChanged: make(chan struct{}, 1)}
	d.registerClosures()
	d.registerHealth()
	return d
}

// Done returns the channel that is closed when Run has ended.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// IsLeader reports whether this entry is the leader.
func (d *Dispatcher) IsLeader() bool { return d.term.Load() != nil }

// Register adds the dispatcher's methods to a mux.
func (d *Dispatcher) Register(m *rpc.Mux) {
	rpc.Handle(m, link.MethodReport, d.report)
	rpc.Handle(m, link.MethodPing, d.ping)
	rpc.Handle(m, link.MethodWaiting, d.waiting)
	rpc.Handle(m, link.MethodState, d.state)
}

// Run campaigns for leadership and leads until ctx ends; then it resigns.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.done)
	for ctx.Err() == nil {
		t, err := d.campaign(ctx)
		if err != nil {
			if ctx.Err() == nil {
				d.logger.Warn("campaign failed: %v", err)
				wait.For(ctx, campaignRetryDelay)
			}
			continue
		}
		d.serveTerm(ctx, t)
	}
}

func (d *Dispatcher) serveTerm(ctx context.Context, t *term) {
	d.config.Metrics.Counter("lead.terms").Inc(1)
	err := t.run(ctx, func() {
		d.logger.Info("leadership acquired; epoch=%d jobs=%d load_ms=%d earlier_leases_ms=%d",
			t.epoch, len(t.jobs), time.Since(t.startedAt).Milliseconds(), t.earlierLeases.Milliseconds())
		d.term.Store(t)
	})
	d.term.Store(nil)
	t.close()
	d.logger.Info("leadership ended; epoch=%d reason=%v", t.epoch, err)
	if ctx.Err() != nil || fault.Is(err, fault.Leaving) {
		t.resign()
	}
}

func (d *Dispatcher) currentTerm() (*term, error) {
	t := d.term.Load()
	if t == nil {
		return nil, fault.New(fault.Stale, "this entry is not the leader")
	}
	return t, nil
}

func (d *Dispatcher) report(_ context.Context, p *rpc.Peer, r link.Report) (link.ReportAnswer, error) {
	t, err := d.currentTerm()
	if err != nil {
		return link.ReportAnswer{}, err
	}
	start := time.Now()
	answer, err := t.report(connection{p}, r)
	d.config.Metrics.Counter("lead.reports").Inc(1)
	d.config.Metrics.Counter("lead.ends").Inc(int64(len(r.Ended)))
	d.config.Metrics.Histogram("lead.report_ms").Update(time.Since(start).Milliseconds())
	return answer, err
}

func (d *Dispatcher) ping(ctx context.Context, peer *rpc.Peer, p link.Ping) (link.PingAnswer, error) {
	d.config.Policies.Accept(p.Offer)
	t, err := d.currentTerm()
	if err != nil {
		return link.PingAnswer{}, err
	}
	answer := t.recordPing(p, peer)
	switch t.assessStore(ctx, p) {
	case storeUnavailable:
		answer.StoreDown = true
	case storeReachableByOthers:
		answer.TakeOver = true
		answer.LeasesMillis = t.stepDown(p.Entry, "the store answers other entries and not this leader").Milliseconds()
	case storeReachable:
		switch {
		case !t.outranks(p):
		case !storeAnsweredRecently(p):
			answer.Probe = true
		default:
			answer.TakeOver = true
			answer.LeasesMillis = t.stepDown(p.Entry, "it has a much larger processor share").Milliseconds()
		}
	}
	answer.Offer = newConfigurationOffer(d.config.Policies.Offer(), p)
	return answer, nil
}

// maxSharedValue is the size in bytes up to which a configuration is sent on the connection of the pings: other answers wait for it.
const maxSharedValue = 32 << 10

// newConfigurationOffer returns the leader's configuration as the answer to a ping, empty if the entry has it.
func newConfigurationOffer(newest link.Offer, p link.Ping) link.Offer {
	switch {
	case newest.Revision == p.Revision:
		return link.Offer{}
	case newest.Revision < p.Revision, p.ValueOnRequest && len(newest.Value) > maxSharedValue:
		return link.Offer{Revision: newest.Revision}
	}
	return newest
}

func (d *Dispatcher) waiting(_ context.Context, _ *rpc.Peer, w link.WaitingRequest) (link.WaitingAnswer, error) {
	t, err := d.currentTerm()
	if err != nil {
		return link.WaitingAnswer{}, err
	}
	return link.WaitingAnswer{Count: t.waitingJobs(w.Queue)}, nil
}
