package daemon

import (
	"context"

	"github.com/saffronpulley/saffronpulley/internal/admin"
	"github.com/saffronpulley/saffronpulley/internal/entry"
)

func (p *process) runEntry(ctx context.Context) error {
	s := p.settings
	callers, err := admin.Listen(s.Callers(), "listen.callers")
	if err != nil {
		return err
	}
	peers, err := admin.Listen(s.Peers(), "listen.peers")
	if err != nil {
		return err
	}
	operators, err := admin.Listen(s.Admin(), "listen.admin")
	if err != nil {
		return err
	}
	e := entry.New(entry.Config{
		ID: s.ID(), Hall: s.Hall(), Secret: s.Secret(), PeerAddress: s.AdvertisePeers(peers.Addr().String()),
		Timing: entry.Timing{
			List: s.EntryList(), Subscribe: s.Subscribe(), Keys: s.Keys(), DefaultDeadline: s.DefaultDeadline(),
			Drain: s.Drain(), DrainAnnounce: s.Announce(),
		},
		Store: p.store, VMs: p.vms, Logger: p.logger.Named("entry"), Clock: p.clock, Recorder: p.recorder, Metrics: p.metrics,
	})
	callersServer := admin.Serve(callers, p.limits(), e.HandleCallers, entry.RefuseCaller)
	peersServer := admin.Serve(peers, p.limits(), e.HandlePeers, admin.RefuseAsText)
	adminServer := p.serveAdmin(operators, e.Ready, e.HandleOperators)
	p.logger.Info("entry: ready to start; callers=%s peers=%s admin=%s", callers.Addr(), peers.Addr(), operators.Addr())
	err = e.Run(ctx)
	admin.CloseAll(callersServer, peersServer, adminServer)
	p.logger.Info("entry: ended")
	return err
}
