package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/saffronpulley/saffronpulley/internal/admin"
	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/dispatch"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/intake"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/relay"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/platform"
)

// drainShare is the share of the grace period in which a stopping entry continues to serve callers. The platform routes new
// connections to other entries within two seconds and requests take up to three; closing the rest takes at most two more.
const drainShare = 0.6

// entry is a process that serves callers and may become the leader.
type entry struct {
	*process
	server     *intake.Server
	policies   *intake.Policies
	leader     *follow.Follower[record.Leader]
	dispatcher *dispatch.Dispatcher
	pinger     *intake.Pinger
	stopping   atomic.Bool
	// refusalLog limits the log lines about refused connections.
	refusalLog rate.Sometimes
}

func (p *process) runEntry(ctx context.Context) error {
	e := &entry{process: p, refusalLog: rate.Sometimes{Interval: refusalLogInterval}}
	e.policies = intake.NewPolicies(p.store, platform.PolicyKey, platform.DecodePolicy, p.logger.Named("configuration"))
	e.leader = follow.New(p.store, record.LeaderKey, record.DecodeLeader, p.logger.Named("lead"))
	var advisor dispatch.Advisor
	if address := p.settings.Advice(); address != "" {
		advisor = platform.NewAdvice(address, p.logger.Named("advice"))
	}
	e.dispatcher = dispatch.New(dispatch.Config{
		Advisor: advisor, Features: p.settings.Features(),
		Process: p.settings.ID(), Boot: p.boot, Address: p.settings.PeerAddress(), Strength: p.settings.Strength(),
		Closures: hall.New(p.store, platform.ClosuresPrefix, p.settings.ClosureDelay(), boottime.System{}, p.logger.Named("closures")),
		Uptime:   boottime.System{}, MaxRenewal: p.settings.MaxRenewal(),
		Store: p.store, Health: p.health, Leader: e.leader, Policies: e.policies, Logger: p.logger.Named("dispatch"), Metrics: p.metrics,
	})
	e.server = intake.New(intake.Config{
		Store: relay.New(p.store, p.health, p.pool), Pool: p.pool, Policies: e.policies, Leader: e.leader, Dispatcher: e.dispatcher,
		Direct: p.store, Health: p.health, Logger: p.logger.Named("intake"), Metrics: p.metrics,
	})
	e.dispatcher.Register(p.mux)
	e.pinger = intake.NewPinger(e.server, intake.Self{
		Process: p.settings.ID(), Address: p.settings.PeerAddress(), Strength: p.settings.Strength(),
	}, e.dispatcher)
	e.pinger.Register(p.mux)
	intake.Register(p.mux, p.store, p.health)
	servers, err := e.listen()
	if err != nil {
		return err
	}
	e.run(ctx, servers)
	return nil
}

// listen starts the listeners for other processes, callers, readiness checks, reports and metrics.
func (e *entry) listen() ([]*admin.Server, error) {
	peers, err := admin.Listen(e.settings.ListenPeers(), "listen.peers")
	if err != nil {
		return nil, err
	}
	server := rpc.Serve(peers, secret, e.mux, rpc.Limits{Peers: e.settings.Limits().peers, OnRefused: e.refusedPeer})
	e.metrics.Gauge("peers.open", func() int64 { return int64(server.Peers()) })
	var servers []*admin.Server
	s := e.settings
	for _, l := range []struct {
		address, setting string
		start            func() (*admin.Server, error)
	}{
		{start: func() (*admin.Server, error) {
			return serve(s.Callers(), "listen.callers", s.Limits().callers, e.callers())
		}},
		{start: func() (*admin.Server, error) {
			return serve(s.Ready(), "listen.ready", maxLocalConnections, platform.HandleReady(e.ready))
		}},
		{start: func() (*admin.Server, error) {
			return serve(s.Reports(), "listen.reports", maxLocalConnections, platform.HandleReports(noReports{}))
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

// refusalLogInterval is the minimum interval between log lines about refused connections of other processes; all are counted.
const refusalLogInterval = 2 * time.Second

// refusedPeer counts and logs a connection of another process that was refused because the limit is reached.
func (e *entry) refusedPeer() {
	refused := e.metrics.Counter("peers.refused")
	refused.Inc(1)
	e.refusalLog.Do(func() {
		e.logger.Warn("connections of other processes are refused; limit=%d refused=%d", e.settings.Limits().peers, refused.Count())
	})
}

// ready reports whether the entry accepts new connections.
func (e *entry) ready() bool { return e.policies.Newest() != nil && !e.stopping.Load() }

// run runs the components until ctx ends; then the entry steps down at once if it leads, serves callers for drainShare of the grace period, and
// closes the servers. The components run until the last request is answered, since it may wait for another leader.
//
// It does not wait for the components that only read: their calls may take longer than the grace period.
func (e *entry) run(ctx context.Context, servers []*admin.Server) {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.policies.Run(background)
	go e.leader.Run(background)
	go e.pinger.Run(background)
	go e.dispatcher.Run(ctx)
	<-ctx.Done()
	e.stopping.Store(true)
	wait := time.Duration(drainShare * float64(e.settings.Grace()))
	e.logger.Info("process: stopping; callers are served for %s", wait)
	time.Sleep(wait)
	admin.CloseAll(servers...)
}

// callers serves callers; while the process stops, it closes their connections so that they connect to another entry.
func (e *entry) callers() fasthttp.RequestHandler {
	handle := platform.HandleCallers(e.server)
	return func(ctx *fasthttp.RequestCtx) {
		handle(ctx)
		if e.stopping.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// noReports rejects the reports of workers, which are for the agent beside the worker.
type noReports struct{}

// Reported implements platform.Reports.
func (noReports) Reported(host.Report) bool { return false }

// Left implements platform.Reports.
func (noReports) Left(incarnation.ID) {}

// Unusable implements platform.Reports.
func (noReports) Unusable(string, error) {}
