package agent

import (
	"context"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// newMux registers what the agent serves: to its lead, and as the lead while it is one.
func (a *Agent) newMux() *rpc.Mux {
	m := rpc.NewMux(a.Clock)
	rpc.Handle(m, control.MethodDesired, a.takeDesired)
	rpc.Handle(m, control.MethodAgentTimeline, a.events)
	asLead(a, m, control.MethodHeartbeat, (*leader.Leader).Heartbeat)
	asLead(a, m, control.MethodSubscribe, (*leader.Leader).Subscribe)
	asLead(a, m, control.MethodSubmit, (*leader.Leader).Submit)
	asLead(a, m, control.MethodJob, (*leader.Leader).Job)
	asLead(a, m, control.MethodCancel, (*leader.Leader).Cancel)
	asLead(a, m, control.MethodStatus, (*leader.Leader).Status)
	asLead(a, m, control.MethodExplain, (*leader.Leader).Explain)
	asLead(a, m, control.MethodTimeline, (*leader.Leader).Timeline)
	return m
}

// asLead registers a method that only a lead serves.
func asLead[Req, Res any](a *Agent, m *rpc.Mux, method string,
	handle func(*leader.Leader, context.Context, *rpc.Peer, Req) (Res, error),
) {
	rpc.Handle(m, method, func(ctx context.Context, p *rpc.Peer, request Req) (Res, error) {
		a.mu.Lock()
		l := a.lead
		a.mu.Unlock()
		if l == nil || !l.Ready() {
			var none Res
			return none, fault.New(fault.Stale, "agent %s is not the lead of %s", a.ID, a.cell())
		}
		return handle(l, ctx, p, request)
	})
}

func (a *Agent) events(_ context.Context, _ *rpc.Peer, q control.TimelineQuery) ([]timeline.WireEvent, error) {
	return timeline.Encode(a.Recorder.Since(timeline.Stamp(q.After))), nil
}
