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

// pushLoop is one of the workers that send agents what they are to run.
func (l *Leader) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case instance := <-l.pushes:
			l.push(ctx, instance)
		}
	}
}

func (l *Leader) push(ctx context.Context, instance string) {
	l.mu.Lock()
	a, ok := l.agents[instance]
	if !ok || !l.holds(time.Now()) || a.peer == nil || a.applied == l.position(a) {
		l.mu.Unlock()
		return
	}
	peer, desired := a.peer, l.desired(a)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if _, err := rpc.Call[control.Desired, control.Ack](ctx, peer, control.MethodDesired, *desired); err != nil {
		l.Logger.Debug("cannot tell %s what to run: %v", instance, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.position(l.epoch) == desired.Position {
		a.setBase()
	}
}

// setBase takes note that the agent has the present position, against which later changes are told; l.mu is held.
func (a *agentView) setBase() { a.base, a.baseRevision = a.desired, a.revision }

// position is where the agent is to be; l.mu is held.
func (a *agentView) position(epoch uint64) control.Position {
	return control.Position{Epoch: epoch, Revision: a.revision}
}

// desired is the message that tells an agent what to run, or what changed of it; l.mu is held.
func (l *Leader) desired(a *agentView) *control.Desired {
	d := &control.Desired{Position: l.position(a), Boot: a.boot, Leaving: a.leaving}
	if a.baseRevision == 0 {
		d.Runs = a.desired
		return d
	}
	d.Base = control.Position{Epoch: l.epoch, Revision: a.baseRevision}
	before := make(map[control.Run]control.DesiredRun, len(a.base))
	for _, r := range a.base {
		before[r.Run] = r
	}
	for _, r := range a.desired {
		if old, ok := before[r.Run]; !ok || old != r {
			d.Runs = append(d.Runs, r)
		}
		delete(before, r.Run)
	}
	for run := range before {
		d.Gone = append(d.Gone, run)
	}
	return d
}
