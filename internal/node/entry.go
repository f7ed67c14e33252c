package node

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/saffronpulley/saffronpulley/internal/admin"
	"github.com/saffronpulley/saffronpulley/internal/dispatch"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/intake"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/platform"
)

// stopWait is how long a stopping entry still serves callers: the platform sends new connections elsewhere within two
// seconds, requests take up to three, and six seconds after its signal the process is killed.
const stopWait = 4500 * time.Millisecond

// entry is the process that serves callers and may lead.
type entry struct {
	*process
	desk       *intake.Desk
	policies   *intake.Policies
	lead       *follow.Follower[record.Lead]
	dispatcher *dispatch.Dispatcher
	stopping   atomic.Bool
}

func (p *process) runEntry(ctx context.Context) error {
	e := &entry{process: p}
	e.policies = intake.NewPolicies(p.store, platform.PolicyKey, platform.DecodePolicy, p.logger.Part("configuration"))
	e.lead = follow.New(p.store, record.LeadKey, record.DecodeLead, p.logger.Part("lead"))
	e.desk = intake.New(intake.Config{
		Store: relay.New(p.store, p.pool), Pool: p.pool, Policies: e.policies, Lead: e.lead,
		Logger: p.logger.Part("intake"), Metrics: p.metrics,
	})
	e.dispatcher = dispatch.New(dispatch.Config{
		Node: p.settings.ID(), Boot: p.boot, Address: p.settings.PeerAddress(), Strength: p.settings.Strength(),
		Store: p.store, Lead: e.lead, Policies: e.policies, Logger: p.logger.Part("dispatch"), Metrics: p.metrics,
	})
	e.dispatcher.Register(p.mux)
	intake.Register(p.mux, p.store)
	servers, err := e.listen()
	if err != nil {
		return err
	}
	defer admin.CloseAll(servers...)
	return e.run(ctx)
}

// listen opens all that others reach.
func (e *entry) listen() ([]*admin.Server, error) {
	peers, err := open(e.settings.PeerAddress(), "ports.peers")
	if err != nil {
		return nil, err
	}
	rpc.Serve(peers, secret, e.mux)
	var servers []*admin.Server
	s := e.settings
	for _, l := range []struct {
		address, setting string
		start            func() (*admin.Server, error)
	}{
		{start: func() (*admin.Server, error) {
			return serve(s.Callers(), "listen.callers", platform.HandleCallers(e.desk))
		}},
		{start: func() (*admin.Server, error) { return serve(s.Ready(), "listen.ready", platform.HandleReady(e.ready)) }},
		{start: func() (*admin.Server, error) {
			return serve(s.Reports(), "listen.reports", platform.HandleReports(noReports{}))
		}},
		{start: func() (*admin.Server, error) { return e.serveMetrics(e.ready) }},
	} {
		server, err := l.start()
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// ready reports whether new connections should come here.
func (e *entry) ready() bool { return e.policies.Newest() != nil && !e.stopping.Load() }

// run runs the parts; at the signal the lead goes at once, and callers are served for a while longer.
func (e *entry) run(ctx context.Context) error {
	lasting, end := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { e.policies.Run(lasting); return nil })
	group.Go(func() error { e.lead.Run(lasting); return nil })
	group.Go(func() error { e.desk.Ping(lasting, e.settings.ID(), e.settings.PeerAddress()); return nil })
	group.Go(func() error { e.dispatcher.Run(ctx); return nil })
	<-ctx.Done()
	e.logger.Info("process: stopping; callers are served for %s", stopWait)
	e.stopping.Store(true)
	time.Sleep(stopWait)
	end()
	return group.Wait()
}

// noReports refuses workers' reports, which belong to the agent beside the worker.
type noReports struct{}

// Heard implements platform.Reports.
func (noReports) Heard(host.Report) bool { return false }

// Left implements platform.Reports.
func (noReports) Left(string) {}
