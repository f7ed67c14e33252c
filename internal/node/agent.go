package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/admin"
	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/runner"
	"github.com/saffronpulley/saffronpulley/platform"
)

// agentDrainShare is the share of the grace period in which a stopping agent continues to serve its worker. The agent ends within milliseconds
// after that, and the runs go on until their leases expire.
const agentDrainShare = 0.9

func (p *process) runAgent(ctx context.Context) error {
	r := runner.New(runner.Config{
		VM: p.settings.ID(), Hall: p.settings.Hall(), ClosureDelay: p.settings.ClosureDelay(),
		MaxRenewal: p.settings.MaxRenewal(), Dial: httpclient.Dial,
		Worker: platform.NewWorker(p.settings.Worker(), p.logger.Named("worker")),
		Store:  relay.New(p.store, p.health, p.pool), Pool: p.pool, Clock: p.clock, Uptime: boottime.System{}, Random: rand.Float64, Secret: secret,
		Logger: p.logger.Named("agent"), Metrics: p.metrics,
	})
	reports, err := serve(p.settings.Reports(), "listen.reports", maxLocalConnections, platform.HandleReports(r))
	if err != nil {
		return err
	}
	metrics, err := p.serveMetrics(func() bool { return true })
	if err != nil {
		return err
	}
	defer admin.CloseAll(reports, metrics)
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		wait := time.Duration(agentDrainShare * float64(p.settings.Grace()))
		p.logger.Info("process: stopping; runs are served for %s", wait)
		r.Stopping()
		time.AfterFunc(wait, cancel)
	})()
	if err := r.Run(serving); err != nil && serving.Err() == nil {
		return err
	}
	return nil
}
