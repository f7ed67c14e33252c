package daemon

import (
	"context"

	"github.com/oklog/ulid/v2"

	"github.com/saffronpulley/saffronpulley/internal/admin"
	"github.com/saffronpulley/saffronpulley/internal/agent"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

func (p *process) runAgent(ctx context.Context) error {
	s := p.settings
	requests, err := admin.Listen(s.Requests(), "listen.requests")
	if err != nil {
		return err
	}
	control, err := admin.Listen(s.Control(), "listen.control")
	if err != nil {
		return err
	}
	operators, err := admin.Listen(s.Admin(), "listen.admin")
	if err != nil {
		return err
	}
	a := agent.New(agent.Config{
		ID: s.ID(), Boot: ulid.Make().String(), Hall: s.Hall(), Rack: s.Rack(), Secret: s.Secret(),
		Requests: s.AdvertiseRequests(requests.Addr().String()), Control: control,
		Address: s.AdvertiseControl(control.Addr().String()),
		Timing: agent.Timing{
			Heartbeat: s.Heartbeat(), Reconcile: s.Reconcile(), TaskLease: s.TaskLease(), Drain: s.Drain(), Measure: s.Measure(),
		},
		Leader: leader.Timing{
			Lease: s.Lease(), Heartbeat: s.Heartbeat(), CommitWindow: s.CommitWindow(), List: s.LeaderList(), CommitRate: s.CommitRate(),
		},
		Store: p.store, VMs: p.vms, Worker: worker.NewHTTP(s.Worker()),
		Logger: p.logger.Named("agent"), Clock: p.clock, Recorder: p.recorder,
	})
	requestServer := admin.Serve(requests, p.limits(), a.Gate().Handle, admin.RefuseAsText)
	adminServer := p.serveAdmin(operators, a.Ready, nil)
	p.logger.Info("agent: ready to start; requests=%s control=%s admin=%s", requests.Addr(), control.Addr(), operators.Addr())
	err = a.Run(ctx)
	admin.CloseAll(requestServer, adminServer)
	p.logger.Info("agent: ended")
	return err
}
