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

// Policies gives the newest configuration and takes one that came from another process.
type Policies interface {
	// Newest returns the configuration, nil before the first.
	Newest() *policy.Policy
	// Offer returns the configuration as the store holds it.
	Offer() link.Offer
	// Accept keeps an offer unless a newer one is known.
	Accept(offer link.Offer)
}

// Config holds what a dispatcher needs.
type Config struct {
	Node    string
	Boot    string
	Address string
	// Strength is the processor share of the VM; the strongest entry stands first for the lead.
	Strength float64
	Store    kv.Store
	// Health is what the process knows of its way to the store.
	Health   *kv.Health
	Leader   *follow.Follower[record.Leader]
	Policies Policies
	// Closures are the halls that the operators have closed.
	Closures *hall.Closures
	Logger   logging.Logger
	Metrics  *metric.Registry
	// Advisor knows the workers of advised queues; nil where the platform has none.
	Advisor Advisor
	// Uptime is the clock of what the lead permits, which counts suspensions.
	Uptime boottime.Clock
}

// Dispatcher leads whenever its process holds the lead.
type Dispatcher struct {
	config       Config
	logger       logging.Logger
	term         atomic.Pointer[term]
	done         chan struct{}
	backoffUntil atomic.Int64
	// suspectedLeader is the lead that this entry may replace before its lease ends.
	suspectedLeader  atomic.Pointer[suspectedLeader]
	suspicionChanged chan struct{}
	// ranking is the place of this entry among those that may lead next, as a leader told it last.
	ranking atomic.Pointer[ranking]
}

// New returns a dispatcher that does not lead yet.
func New(config Config) *Dispatcher {
	d := &Dispatcher{config: config, logger: config.Logger, done: make(chan struct{}), suspicionChanged: make(chan struct{}, 1)}
	d.registerClosures()
	return d
}

// Done returns the channel that is closed when Run has ended.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// IsLeader reports whether this entry leads.
func (d *Dispatcher) IsLeader() bool { return d.term.Load() != nil }

// Register adds the dispatcher's methods to a mux.
func (d *Dispatcher) Register(m *rpc.Mux) {
	rpc.Handle(m, link.MethodReport, d.report)
	rpc.Handle(m, link.MethodPing, d.ping)
	rpc.Handle(m, link.MethodWaiting, d.waiting)
	rpc.Handle(m, link.MethodState, d.state)
}

// Run stands for the lead and leads, until ctx ends; then the lead is given up.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.done)
	for ctx.Err() == nil {
		t, err := d.campaign(ctx)
		if err != nil {
			if ctx.Err() == nil {
				d.logger.Warn("the lead was not won: %v", err)
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
		d.logger.Info("lead taken; epoch=%d jobs=%d load_ms=%d", t.epoch, len(t.jobs), time.Since(t.startedAt).Milliseconds())
		d.term.Store(t)
	})
	d.term.Store(nil)
	t.close()
	d.logger.Info("lead ended; epoch=%d reason=%v", t.epoch, err)
	if ctx.Err() != nil || fault.Is(err, fault.Leaving) {
		t.resign()
	}
}

func (d *Dispatcher) currentTerm() (*term, error) {
	t := d.term.Load()
	if t == nil {
		return nil, fault.New(fault.Stale, "this entry does not lead")
	}
	return t, nil
}

func (d *Dispatcher) report(_ context.Context, p *rpc.Peer, r link.Report) (link.ReportAnswer, error) {
	t, err := d.currentTerm()
	if err != nil {
		return link.ReportAnswer{}, err
	}
	began := time.Now()
	answer, err := t.report(connection{p}, r)
	d.config.Metrics.Counter("lead.reports").Inc(1)
	d.config.Metrics.Counter("lead.ends").Inc(int64(len(r.Ended)))
	d.config.Metrics.Histogram("lead.report_ms").Update(time.Since(began).Milliseconds())
	return answer, err
}

func (d *Dispatcher) ping(_ context.Context, peer *rpc.Peer, p link.Ping) (link.PingAnswer, error) {
	d.config.Policies.Accept(p.Offer)
	t, err := d.currentTerm()
	if err != nil {
		return link.PingAnswer{}, err
	}
	answer := t.recordPing(p, peer)
	switch t.assessStore(p) {
	case storeUnavailable:
		answer.StoreDown = true
	case storeReachableByOthers:
		answer.TakeOver = true
		t.yield(p.Entry, "the store answers others and not this lead")
	case storeReachable:
		switch {
		case !t.outranks(p):
		case !storeAnsweredRecently(p):
			answer.Probe = true
		default:
			answer.TakeOver = true
			t.yield(p.Entry, "it is far stronger")
		}
	}
	if own := d.config.Policies.Offer(); own.Revision != p.Revision {
		answer.Offer = own
		if own.Revision < p.Revision {
			answer.Value = nil
		}
	}
	return answer, nil
}

func (d *Dispatcher) waiting(_ context.Context, _ *rpc.Peer, w link.Waiting) (link.WaitingAnswer, error) {
	t, err := d.currentTerm()
	if err != nil {
		return link.WaitingAnswer{}, err
	}
	return link.WaitingAnswer{Count: t.queuedJobs(w.Queue)}, nil
}
