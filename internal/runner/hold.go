package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
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
	// adjustEvery is the shortest time between two changes of the pace, whose effect the next figures show.
	adjustEvery = 400 * time.Millisecond
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
		view, refusal, err := r.config.Worker.Hold(ctx, instance, hold)
		if err == nil && refusal != host.Accepted {
			err = fault.New(fault.Conflict, "the worker refuses the hold: %s", refusal)
		}
		if err != nil {
			r.unheld(instance, err)
			wait.For(ctx, holdPause)
			continue
		}
		if r.held(ctx, instance, hold, view) {
			r.await(ctx, r.settled)
		}
	}
	return ctx.Err()
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
	hold := host.Hold{Fence: r.epoch, Seen: l.seen, Until: r.until(l), Wait: holdWait}
	if l.fenced < r.epoch {
		hold.Wait = 0
	}
	return l.report.Instance, hold, true
}

// until returns up to when the worker's runs may go on, on its clock, and notes the same on this one. A worker that does
// not answer is not renewed, so that the end of its runs comes into sight.
func (r *Runner) until(l *life) host.Clock {
	now := time.Now()
	if l.silent {
		return 0
	}
	end := now.Add(holdTime)
	if r.permitted.Before(end) {
		end = r.permitted
	}
	if !end.After(now) {
		return 0
	}
	if end.After(l.until) {
		l.until = end
	}
	// The worker's clock shows at least this at end, however slowly it runs, so that its runs are over by then.
	return l.clock + host.Clock(clockRate*float64(end.Sub(l.read)))
}

// unheld takes note of a hold that failed.
func (r *Runner) unheld(instance string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.life
	if l == nil || l.report.Instance != instance {
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
	now := time.Now()
	if l.silent {
		r.logger.Info("worker answers again; instance=%s", instance)
	}
	l.clock, l.read, l.answered, l.silent = view.Clock, now, now, false
	l.fenced = max(l.fenced, hold.Fence)
	l.view = view
	l.views++
	l.prune()
	r.adjust(ctx, l)
	wait.Wake(r.changed)
	return len(view.Ended) > 0
}

// prune forgets orders whose runs the view shows, or that were told, and profiles of runs that are no more.
func (l *life) prune() {
	for _, e := range l.view.Ended {
		if o := l.orders[e.Run]; o != nil && o.final {
			delete(l.orders, e.Run)
		}
	}
	present := make(map[host.Run]bool, len(l.view.Running))
	for _, running := range l.view.Running {
		present[running.Run] = true
	}
	for run := range l.profiles {
		if !present[run] && l.orders[run] == nil {
			delete(l.profiles, run)
			delete(l.paces, run)
		}
	}
}

// adjust sets the pace of what fills, by image, from what the tasks that serve show.
func (r *Runner) adjust(ctx context.Context, l *life) {
	if now := time.Now(); now.Sub(l.adjusted) >= adjustEvery && l.report.Capacity.CPU > 0 {
		l.adjusted = now
		filling := l.filling()
		l.wanted = pacing.Reckon(l.served(filling), filling)
	}
	for _, running := range l.view.Running {
		p, known := l.profiles[running.Run]
		pace, wanted := l.wanted[p.Image]
		if !known || !p.Fills || !wanted || paceOf(l, running.Run) == pace {
			continue
		}
		l.paces[running.Run] = pace
		go r.setPace(ctx, l.report.Instance, running.Run, pace, r.epoch)
	}
}

// filling returns the images of what fills the worker.
func (l *life) filling() []pacing.Filling {
	images := make(map[string]*pacing.Filling)
	var order []string
	for _, running := range l.view.Running {
		p := l.profiles[running.Run]
		if !p.Fills {
			continue
		}
		f := images[p.Image]
		if f == nil {
			f = &pacing.Filling{Image: p.Image}
			images[p.Image] = f
			order = append(order, p.Image)
		}
		f.Use += float64(running.Figure) / float64(l.report.Capacity.CPU)
		f.Whole += float64(p.CPU) / float64(l.report.Capacity.CPU)
	}
	filling := make([]pacing.Filling, 0, len(order))
	for _, image := range order {
		filling = append(filling, *images[image])
	}
	return filling
}

// longOver and longerOver are how long a serving task may be over its target before what is known to slow it must give
// way, and before all that fills must. The platform's owners allow some four seconds, and a figure is half a second old.
const (
	longOver   = 1200 * time.Millisecond
	longerOver = 2200 * time.Millisecond
)

// overFor returns for how long a serving task has been over its target.
func (l *life) overFor(running host.Running) time.Duration {
	if int64(running.Figure) <= l.profiles[running.Run].TargetMillis {
		delete(l.over, running.Run)
		return 0
	}
	since, known := l.over[running.Run]
	if !known {
		l.over[running.Run] = l.read
		return 0
	}
	return l.read.Sub(since)
}

// fading is what is left of a weight that was felt here from one reckoning to the next: half after some four seconds.
const fading = 0.93

// weight returns by how much an image slows a serving task: what the lead tells, or what was felt here lately.
func (l *life) weight(run host.Run, serving, filling string) float64 {
	told, known := l.presses[filling]
	weight := unknownWeight
	if known {
		weight = told[serving]
	}
	return max(weight, l.felt[run][filling]*fading)
}

// unknownWeight is what an image is taken to do to serving tasks before the lead has told of it.
const unknownWeight = 1.0

// served returns what the tasks that serve show.
func (l *life) served(filling []pacing.Filling) []pacing.Served {
	var served []pacing.Served
	for _, running := range l.view.Running {
		p := l.profiles[running.Run]
		if p.TargetMillis == 0 || running.Figure == 0 {
			continue
		}
		over := l.overFor(running)
		s := pacing.Served{
			Level: pressure.Level(float64(running.Figure), float64(p.TargetMillis)), Weights: make(map[string]float64),
			Long: over > longOver, Longer: over > longerOver,
		}
		for _, f := range filling {
			s.Weights[f.Image] = l.weight(running.Run, p.Image, f.Image)
		}
		s = pacing.Explain(s, filling)
		l.felt[running.Run] = s.Weights
		served = append(served, s)
	}
	return served
}

func paceOf(l *life, run host.Run) int {
	if pace, known := l.paces[run]; known {
		return pace
	}
	return pacing.Full
}

func (r *Runner) setPace(ctx context.Context, instance string, run host.Run, pace int, epoch uint64) {
	refusal, err := r.config.Worker.Pace(ctx, instance, run, pace, epoch)
	if err == nil && refusal == host.Accepted {
		return
	}
	r.logger.Debug("pace not set; task=%s run=%d pace=%d refusal=%s reason=%v", run.Task, run.Number, pace, refusal, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life != nil && r.life.report.Instance == instance {
		delete(r.life.paces, run)
	}
}

// profile keeps what the lead tells of runs.
func (l *life) profile(profiles []link.Profile) {
	for _, p := range profiles {
		if run, ok := parseRun(p.Run); ok {
			l.profiles[run] = p
		}
	}
}
