package lead

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
func (l *Lead) pushLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case instance := <-l.pushes:
			l.push(ctx, instance)
		}
	}
}

func (l *Lead) push(ctx context.Context, instance string) {
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
	}
}

// desired is the message that tells an agent what to run; l.mu is held.
func (l *Lead) desired(a *agentView) *control.Desired {
	return &control.Desired{Position: l.position(a), Boot: a.boot, Leaving: a.leaving, Runs: a.desired}
}
