package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// holdWait is how long a hold waits for an end; the worker's figures are over half a second.
	holdWait = 500 * time.Millisecond
	// holdTime is how long the worker's runs go on after a hold: longer than the agent takes to start again, shorter than
	// any permission.
	holdTime = 3500 * time.Millisecond
	// clockRate is how fast the worker's clock runs at the least beside this one, by the platform's page.
	clockRate = 0.98
	// silentAfter is how long a worker may not answer before it is told to be silent.
	silentAfter = 1500 * time.Millisecond
	// fencePatience bounds the hold that shows the worker a new epoch; the next one does so as well.
	fencePatience = 300 * time.Millisecond
	// holdPause lies between two holds that found nothing new, or failed.
	holdPause = 100 * time.Millisecond
)

// holdOn renews the worker's runs and looks at them, over and over.
func (r *Runner) holdOn(ctx context.Context) error {
	for ctx.Err() == nil {
		instance, hold, ok := r.nextHold()
		if !ok {
			r.await(ctx, r.heard)
			continue
		}
		asked := time.Now()
		settles, err := r.hold(ctx, instance, hold)
		switch {
		case err != nil:
			r.unheld(instance, asked, err)
			wait.For(ctx, holdPause)
		case settles:
			r.await(ctx, r.settled)
		}
	}
	return ctx.Err()
}

// hold sends one hold, and reports whether ends wait to be taken note of.
func (r *Runner) hold(ctx context.Context, instance string, hold host.Hold) (bool, error) {
	view, refusal, err := r.config.Worker.Hold(ctx, instance, hold)
	if err == nil && refusal != host.Accepted {
		err = fault.New(fault.Conflict, "the worker refuses the hold: %s", refusal)
	}
	if err != nil {
		return false, err
	}
	return r.held(ctx, instance, hold, view), nil
}

// fence shows the worker the epoch of a lead that was just found, beside the hold that waits for an end: before that the lead
// cannot count on what it hears of the worker.
func (r *Runner) fence(ctx context.Context) {
	instance, hold, ok := r.nextHold()
	if !ok || hold.Wait > 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, fencePatience)
	defer cancel()
	if _, err := r.hold(bounded, instance, hold); err != nil {
		r.logger.Debug("the worker has not seen the epoch yet: %v", err)
	}
}

// await waits for a signal, or a while.
func (r *Runner) await(ctx context.Context, c chan struct{}) {
	select {
	case <-ctx.Done():
	case <-c:
	case <-time.After(holdPause):
	}
}

// nextHold returns the hold to send, false while the worker is not known.
func (r *Runner) nextHold() (string, host.Hold, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	if l == nil {
		return "", host.Hold{}, false
	}
	r.quit(l)
	hold := host.Hold{Fence: r.epoch, Seen: l.seen, Until: r.until(l), Wait: holdWait}
	if l.fenced < r.epoch {
		hold.Wait = 0
	}
	return l.report.Instance, hold, true
}

// quitAfter is how long after the end of the permission the worker's runs are stopped: its own reckoning ends them before, unless
// its clock stood still.
const quitAfter = 200 * time.Millisecond

// quit stops what the worker still shows some time after the permission is over: a worker that was suspended with its VM would run it
// on for up to holdTime after waking, beside the run that the lead has placed elsewhere.
func (r *Runner) quit(l *life) {
	if r.permitted.IsZero() || l.silent || r.config.Uptime.Now().Sub(r.permitted) < quitAfter {
		return
	}
	for _, running := range l.view.Running {
		if l.orders[running.Run] == nil {
			r.logger.Warn("run is stopped after the permission was over; task=%s run=%d", running.Run.Task, running.Run.Number)
			r.end(l, running.Run)
		}
	}
}

// until returns up to when the worker's runs may go on, on its clock, and notes the same on this one. A worker that does
// not answer is not renewed, so that the end of its runs comes into sight.
func (r *Runner) until(l *life) host.Clock {
	if l.silent {
		return 0
	}
	left := min(holdTime, r.permitted.Sub(r.config.Uptime.Now()))
	if left <= 0 {
		return 0
	}
	end := time.Now().Add(left)
	if end.After(l.until) {
		l.until = end
	}
	// The worker's clock shows at least this at end, however slowly it runs, so that its runs are over by then. Since it was
	// read the steady clock went on; a suspension is left out, in which the worker's may have stood still as well.
	return l.clock + host.Clock(clockRate*float64(end.Sub(l.read)))
}

// brokenWithin is how soon a hold fails that was broken off: one whose worker is silent fails later.
const brokenWithin = holdWait + 100*time.Millisecond

// unheld takes note of a hold that was asked for at a time and failed. One that was broken off tells when the worker crashed, if
// it did: to the millisecond, where what the worker showed last is up to half a second old.
func (r *Runner) unheld(instance string, asked time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	if l == nil || l.report.Instance != instance {
		return
	}
	if now := time.Now(); l.broken.IsZero() && now.Sub(asked) < brokenWithin {
		l.broken = now
	}
	if fault.Is(err, fault.Stale) {
		r.over(l)
		return
	}
	if !l.silent && time.Since(l.answered) > silentAfter {
		l.silent = true
		r.logger.Warn("worker does not answer; instance=%s reason=%v", instance, err)
		wait.Wake(r.changed)
	}
}

// held takes a view and reports whether ends wait to be taken note of.
func (r *Runner) held(ctx context.Context, instance string, hold host.Hold, view host.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	if l == nil || l.report.Instance != instance {
		return false
	}
	if l.views > 0 && view.Clock < l.clock {
		// A newer answer has overtaken this one.
		r.logOvertaken("answer", instance, time.Duration(view.Clock).Milliseconds(), time.Duration(l.clock).Milliseconds())
		return false
	}
	r.checkAcknowledged(instance, hold.Seen, view)
	now := time.Now()
	if l.silent {
		r.logger.Info("worker answers again; instance=%s", instance)
	}
	l.clock, l.read, l.answered, l.silent = view.Clock, now, now, false
	l.broken = time.Time{}
	l.fenced = max(l.fenced, hold.Fence)
	l.view = view
	l.views++
	l.begun.show(view, now)
	l.prune()
	r.adjust(ctx, l)
	wait.Wake(r.changed)
	return len(view.Ended) > 0
}
