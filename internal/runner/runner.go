package runner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

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

// New returns an agent that knows neither its worker nor its lead.
func New(config Config) *Runner {
	r := &Runner{
		config: config, logger: config.Logger, changed: make(chan struct{}, 1),
		settled: make(chan struct{}, 1), heard: make(chan struct{}, 1),
	}
	r.mux = rpc.NewMux(config.Clock)
	rpc.Handle(r.mux, link.MethodOrders, r.takeOrders)
	return r
}

// Run keeps the worker until ctx ends; what runs there goes on for as long as it is held.
func (r *Runner) Run(ctx context.Context) error {
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

// Left takes note that the worker has ended by plan.
func (r *Runner) Left(instance string) {
	r.logger.Info("worker left; instance=%s", instance)
}
