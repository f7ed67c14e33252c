package runner

import (
	"context"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// mostPast is how many lives that are over an agent remembers; a report is held up for seconds, a life lasts longer.
const mostPast = 16

// lives are the lives of the worker that the agent has heard of.
type lives struct {
	// claimants are lives that reported themselves and are not known to be the present one, in the order in which the worker is
	// asked for them; past are the lives that are over.
	claimants []*life
	past      []string
}

// mostClaimants bounds the claims that wait: each takes one call, and a life that is left out reports again within about a second.
const mostClaimants = 16

// claimant returns the claim of a life, nil where there is none.
func (l *lives) claimant(instance string) *life {
	for _, c := range l.claimants {
		if c.instance == instance {
			return c
		}
	}
	return nil
}

// isOver reports whether a life is known to be over; it never returns.
func (l *lives) isOver(instance string) bool { return slices.Contains(l.past, instance) }

// end takes note that a life is over.
func (l *lives) end(instance string) {
	l.past = append(l.past, instance)
	if extra := len(l.past) - mostPast; extra > 0 {
		l.past = slices.Delete(l.past, 0, extra)
	}
}

// claim takes note of a life that reported itself beside the one that is known. Reports may have been held up until their
// sender was gone, so which of the two is there is asked of the worker.
func (r *Runner) claim(report host.Report, now time.Time) {
	if c := r.lives.claimant(report.Instance); c != nil {
		c.renew(report)
		return
	}
	if len(r.lives.claimants) == mostClaimants {
		return
	}
	r.logger.Info("another life of the worker reports; instance=%s known=%s", report.Instance, r.life.instance)
	r.lives.claimants = append(r.lives.claimants, newLife(report, now))
	wait.Wake(r.claimed)
}

// verify finds out, over and over, which life of the worker is there when another than the known one reports.
func (r *Runner) verify(ctx context.Context) error {
	for ctx.Err() == nil {
		claimant, hold := r.nextClaim()
		if claimant == nil {
			select {
			case <-ctx.Done():
			case <-r.claimed:
			}
			continue
		}
		_, _, err := r.config.Worker.Hold(ctx, claimant.instance, hold)
		if err != nil && !fault.Is(err, fault.Stale) {
			wait.For(ctx, holdPause)
			continue
		}
		r.decide(claimant, err == nil)
	}
	return ctx.Err()
}

// nextClaim returns the life to ask for, nil where none claims to be there, and a hold that renews nothing.
func (r *Runner) nextClaim() (*life, host.Hold) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lives.claimants) == 0 {
		return nil, host.Hold{}
	}
	return r.lives.claimants[0], host.Hold{Fence: r.epoch}
}

// decide takes note of whether a claimant is there; the known life is over if it is. Each is decided by its own answer, so that
// claims of strangers, however many, do not hold the true one up.
func (r *Runner) decide(claimant *life, there bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives.claimants = slices.DeleteFunc(r.lives.claimants, func(c *life) bool { return c == claimant })
	if there {
		r.succeed(claimant)
		return
	}
	r.logger.Warn("report of an earlier life is ignored; instance=%s known=%s", claimant.instance, r.life.instance)
	r.lives.end(claimant.instance)
}

// succeed makes a life the known one in place of another.
func (r *Runner) succeed(l *life) {
	r.logger.Info("worker has a new life; instance=%s earlier=%s", l.instance, r.life.instance)
	r.ended(r.life)
	r.lives.end(r.life.instance)
	r.life = l
	wait.Wake(r.heard)
	wait.Wake(r.changed)
}

// over takes note that the worker has another life than the known one: all that ran there is gone.
func (r *Runner) over(l *life) {
	if !l.gone {
		r.logger.Warn("the worker has another life; instance=%s", l.instance)
		r.ended(l)
		wait.Wake(r.changed)
	}
	l.silent, l.gone = true, true
}
