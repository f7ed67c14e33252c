package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// noReportsTimeout is how long a lead goes on without reports before it leaves the lead to another entry.
	noReportsTimeout = 2500 * time.Millisecond
	// noReportsCooldown is how long it does not stand again.
	noReportsCooldown = 4 * time.Second
)

// renewLease keeps the lease and proves now and then that the term still stands.
func (t *term) renewLease(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.For(ctx, renewInterval)
		err := t.store.Renew(ctx, t.lease)
		switch {
		case err == nil:
		case fault.Is(err, fault.NotFound):
			t.replaceLease(ctx)
		default:
			t.logger.Warn("the lease was not renewed: %v", err)
		}
		if t.lostAllAgents() {
			t.dispatcher.backoffUntil.Store(time.Now().Add(noReportsCooldown).UnixMilli())
			return fault.New(fault.Leaving, "no agent reports to this lead")
		}
	}
	return ctx.Err()
}

// lostAllAgents reports whether the lead has lost all its agents, as one that is cut off has.
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

// replaceLease asks for a new lease; the next commit puts the lead's key under it.
func (t *term) replaceLease(ctx context.Context) {
	lease, err := t.store.Grant(ctx, leaseTTL)
	if err != nil {
		t.logger.Warn("the lease ran out and there is no new one yet: %v", err)
		return
	}
	t.mu.Lock()
	t.lease, t.leaseReplaced = lease, true
	t.mu.Unlock()
	t.logger.Info("the lease ran out; the lead is entered again under a new one")
	t.wakeUp()
}
