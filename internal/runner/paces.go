package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

const (
	// adjustEvery is the shortest time between two changes of the pace, whose effect the next figures show.
	adjustEvery = 400 * time.Millisecond
	// longOver and longerOver are how long a serving task may be over its target before what is known to slow it must give
	// way, and before all that fills must. The platform's owners allow some four seconds, and a figure is half a second old.
	longOver   = 1200 * time.Millisecond
	longerOver = 2200 * time.Millisecond
	// fading is what is left of a weight that was felt here from one reckoning to the next: half after some four seconds.
	fading = 0.93
	// unknownWeight is what an image is taken to do to serving tasks before the lead has told of it.
	unknownWeight = 1.0
)

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

// weight returns by how much an image slows a serving task: what the lead tells, or what was felt here lately.
func (l *life) weight(run host.Run, serving, filling string) float64 {
	told, known := l.presses[filling]
	weight := unknownWeight
	if known {
		weight = told[serving]
	}
	return max(weight, l.felt[run][filling]*fading)
}

// paceOf returns the pace in percent that was set last.
func paceOf(l *life, run host.Run) int {
	if pace, known := l.paces[run]; known {
		return pace
	}
	return pacing.Full
}

// setPace sends a pace to the worker; one that is not set is reckoned and sent again.
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
