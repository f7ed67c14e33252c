package agent

import (
	"context"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// newMux registers the methods that the agent serves to its leader, and those that it serves while it is the leader.
func (a *Agent) newMux() *rpc.Mux {
	m := rpc.NewMux(a.Clock)
	rpc.Handle(m, control.MethodDesired, a.acceptDesired)
	rpc.Handle(m, control.MethodAgentTimeline, a.events)
	handleAsLeader(a, m, control.MethodHeartbeat, (*leader.Leader).Heartbeat)
	handleAsLeader(a, m, control.MethodSubscribe, (*leader.Leader).Subscribe)
	handleAsLeader(a, m, control.MethodSubmit, (*leader.Leader).Submit)
	handleAsLeader(a, m, control.MethodJob, (*leader.Leader).Job)
	handleAsLeader(a, m, control.MethodCancel, (*leader.Leader).Cancel)
	handleAsLeader(a, m, control.MethodStatus, (*leader.Leader).Status)
	handleAsLeader(a, m, control.MethodExplain, (*leader.Leader).Explain)
	handleAsLeader(a, m, control.MethodTimeline, (*leader.Leader).Timeline)
	return m
}

// handleAsLeader registers a method that only a leader serves.
func handleAsLeader[Req, Res any](a *Agent, m *rpc.Mux, method string,
	handle func(*leader.Leader, context.Context, *rpc.Peer, Req) (Res, error),
) {
	rpc.Handle(m, method, func(ctx context.Context, p *rpc.Peer, request Req) (Res, error) {
		a.mu.Lock()
		l := a.leader
		a.mu.Unlock()
		if l == nil || !l.Ready() {
			var zero Res
			return zero, fault.New(fault.Stale, "agent %s is not the leader of %s", a.ID, a.cell())
		}
		return handle(l, ctx, p, request)
	})
}

func (a *Agent) events(_ context.Context, _ *rpc.Peer, q control.TimelineQuery) ([]timeline.WireEvent, error) {
	return timeline.Encode(a.Recorder.Since(timeline.Stamp(q.After))), nil
}
