package leader

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

const (
	pushWorkers = 4
	pushTimeout = time.Second
)

// pushLoop sends queued agents their desired runs; several loops run concurrently.
func (l *Leader) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case instance := <-l.pushQueue:
			l.push(ctx, instance)
		}
	}
}

func (l *Leader) push(ctx context.Context, instance string) {
	l.mu.Lock()
	agent, ok := l.agents[instance]
	if !ok || !l.holdsLease(time.Now()) || agent.peer == nil || agent.applied == l.position(agent) {
		l.mu.Unlock()
		return
	}
	peer, desired := agent.peer, l.desired(agent)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if _, err := rpc.Call[control.Desired, control.Ack](ctx, peer, control.MethodDesired, *desired); err != nil {
		l.Logger.Debug("cannot push desired runs; instance=%s error=%v", instance, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if agent.position(l.epoch) == desired.Position {
		agent.setBase()
	}
}

// setBase records that the agent has its current desired runs, so that later changes are sent relative to them; the leader's mu is held.
func (a *agentView) setBase() { a.base, a.baseRevision = a.desired, a.revision }

// position returns the epoch and revision of the desired runs that the agent must apply; the leader's mu is held.
func (a *agentView) position(epoch uint64) control.Position {
	return control.Position{Epoch: epoch, Revision: a.revision}
}

// desired returns the message with an agent's desired runs, or only their changes since its base; l.mu is held.
func (l *Leader) desired(agent *agentView) *control.Desired {
	d := &control.Desired{Position: l.position(agent), Boot: agent.boot, Leaving: agent.leaving}
	if agent.baseRevision == 0 {
		d.Runs = agent.desired
		return d
	}
	d.Base = control.Position{Epoch: l.epoch, Revision: agent.baseRevision}
	before := make(map[control.Run]control.DesiredRun, len(agent.base))
	for _, r := range agent.base {
		before[r.Run] = r
	}
	for _, r := range agent.desired {
		if old, ok := before[r.Run]; !ok || old != r {
			d.Runs = append(d.Runs, r)
		}
		delete(before, r.Run)
	}
	for run := range before {
		d.Removed = append(d.Removed, run)
	}
	return d
}
