package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// noReportsTimeout is how long a leader goes on without reports before it leaves the leadership to another entry.
	noReportsTimeout = 2500 * time.Millisecond
	// noReportsCooldown is how long it is no candidate after that.
	noReportsCooldown = 4 * time.Second
)

// renewLease renews the leader's lease in the store until ctx ends or no agent reports any more.
func (t *term) renewLease(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, renewInterval)
		err := t.store.Renew(ctx, t.lease)
		switch {
		case err == nil:
		case fault.Is(err, fault.NotFound):
			t.replaceLease(ctx)
		default:
			t.logger.Warn("the leader lease was not renewed: %v", err)
		}
		if t.lostAllAgents() {
			t.dispatcher.backoffUntil.Store(time.Now().Add(noReportsCooldown).UnixMilli())
			return fault.New(fault.Leaving, "no agent reports to this leader")
		}
	}
	return ctx.Err()
}

// lostAllAgents reports whether no agent has reported within noReportsTimeout though entries ping, as when the leader is cut off from the agents.
func (t *term) lostAllAgents() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.roster.entries) == 0 {
		return false
	}
	latest := t.startedAt
	for _, a := range t.agents {
		latest = later(latest, a.lastReport)
	}
	return time.Since(latest) > noReportsTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// replaceLease asks the store for a new lease; the next commit puts the leader key under it.
func (t *term) replaceLease(ctx context.Context) {
	lease, err := t.store.Grant(ctx, leaseTTL)
	if err != nil {
		t.logger.Warn("the leader lease expired and was not replaced: %v", err)
		return
	}
	t.mu.Lock()
	t.lease, t.leaseReplaced = lease, true
	t.mu.Unlock()
	t.logger.Info("the leader lease expired; the leader key is written again under a new lease")
	t.notifyChange()
}
