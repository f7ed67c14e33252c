package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

const (
	// adjustEvery is the shortest time between two changes of the pace, whose effect the next figures show.
	adjustEvery = 400 * time.Millisecond
	// longerOver is how long a serving task may be over its target before all that fills must give way, a second after what is
	// known to slow it must.
	longerOver = pacing.LongOver + time.Second
	// aheadOf is how far ahead a pace looks: until the next figures show its effect.
	aheadOf = 500 * time.Millisecond
	// loadFor is how long what the lead told of a load is used: some reports that went unanswered.
	loadFor = 2 * time.Second
	// sureOf is the headroom below which a figure tells nothing of the task's own load.
	sureOf = 0.3
)

// adjust sets the pace of what fills, by image, from what the tasks that serve show.
func (r *Runner) adjust(ctx context.Context, l *life) {
	if now := time.Now(); now.Sub(l.adjusted) >= adjustEvery && l.report.Capacity.CPU > 0 {
		l.adjusted = now
		filling, use := l.filling()
		felt := pressure.Mean(l.used, use)
		l.used = use
		l.wanted = pacing.Reckon(l.served(now, felt, filling), filling, l.starved)
	}
	for _, running := range l.view.Running {
		p, known := l.profiles[running.Run]
		pace, wanted := l.wantedPace(p.Image)
		if !known || !p.Fills || !wanted || l.paceOf(running.Run) == pace {
			continue
		}
		l.paces[running.Run] = pace
		go r.setPace(ctx, l.report.Instance, running.Run, pace, r.epoch)
	}
}

// wantedPace returns the pace of an image in percent, false where none was reckoned yet. What comes while all that fills
// stands has to stand too.
func (l *life) wantedPace(image string) (int, bool) {
	if l.overFor(longerOver) {
		return pacing.Least, true
	}
	pace, wanted := l.wanted[image]
	return pace, wanted
}

// overFor reports whether some serving task has been over its target for a time.
func (l *life) overFor(least time.Duration) bool {
	for _, since := range l.over {
		if l.read.Sub(since) > least {
			return true
		}
	}
	return false
}

// filling returns the images of what fills the worker, and the share of the worker that each uses.
func (l *life) filling() ([]pacing.Filling, map[string]float64) {
	whole, use := make(map[string]float64), make(map[string]float64)
	for _, running := range l.view.Running {
		p := l.profiles[running.Run]
		if !p.Fills {
			continue
		}
		use[p.Image] += l.share(running.Figure)
		whole[p.Image] += l.share(p.CPU)
	}
	filling := make([]pacing.Filling, 0, len(whole))
	for _, image := range slices.Sorted(maps.Keys(whole)) {
		filling = append(filling, pacing.Filling{Image: image, Whole: whole[image]})
	}
	return filling, use
}

// share returns thousandths of a core as a share of the worker.
func (l *life) share(cpu int) float64 { return float64(cpu) / float64(l.report.Capacity.CPU) }

// served returns what the tasks that serve will likely show, after what they show beside what was used.
func (l *life) served(now time.Time, felt map[string]float64, filling []pacing.Filling) []pacing.Served {
	var served []pacing.Served
	for _, running := range l.view.Running {
		p := l.profiles[running.Run]
		if p.TargetMillis == 0 || running.Figure == 0 {
			continue
		}
		over := l.noteOver(running)
		s := pacing.Served{Weights: make(map[string]float64), Long: over > pacing.LongOver, Longer: over > longerOver}
		s.Headroom, s.Deviation = l.ahead(now, running, p, felt)
		for _, f := range filling {
			s.Weights[f.Image] = l.weight(p.Image, f.Image)
		}
		served = append(served, s)
	}
	return served
}

// ahead returns the headroom that a serving task likely has soon without neighbors, and its standard deviation: from the load
// that the lead tells, where it did so of late, and else from the task's own track.
func (l *life) ahead(now time.Time, running host.Running, p link.Profile, felt map[string]float64) (float64, float64) {
	soon := now.Add(aheadOf)
	headroom, deviation := l.follow(now, running, p, felt).Ahead(soon)
	load, known := l.loads[running.Run.Task.StepName()]
	if !known || now.Sub(load.Seen) > loadFor {
		return headroom, deviation
	}
	own := entryOf(l.owns, running.Run)
	shown := pressure.Headroom(float64(running.Figure), float64(p.TargetMillis))
	own.Observe(now, shown-max(load.Ahead(now, l.swing)-l.pressed(p.Image, felt), 0))
	return load.Ahead(soon, l.swing) + own.Ahead(soon), load.Deviation
}

// follow takes the headroom that a serving task shows into its track, as it would be without what was used beside it.
func (l *life) follow(now time.Time, running host.Running, p link.Profile, felt map[string]float64) *pressure.Track {
	track := entryOf(l.tracks, running.Run)
	track.Follow(l.swing)
	target := float64(p.TargetMillis)
	headroom := pressure.Headroom(float64(running.Figure), target)
	if headroom >= sureOf || !track.Seen() {
		track.Observe(now, headroom+l.pressed(p.Image, felt), pressure.Blur(headroom, target))
	}
	return track
}

// entryOf returns what is kept of a run, its zero value where nothing was yet.
func entryOf[T any](entries map[host.Run]*T, run host.Run) *T {
	entry := entries[run]
	if entry == nil {
		entry = new(T)
		entries[run] = entry
	}
	return entry
}

// pressed returns by how much what was used lowers the headroom of a serving image.
func (l *life) pressed(serving string, use map[string]float64) float64 {
	sum := 0.0
	for image, share := range use {
		sum += l.weight(serving, image) * share
	}
	return sum
}

// noteOver returns for how long a serving task has been over its target. One that is found over, as an agent that was
// started again finds it, is taken to have been over for long: nobody knows how long it was before.
func (l *life) noteOver(running host.Running) time.Duration {
	if int64(running.Figure) <= l.profiles[running.Run].TargetMillis {
		delete(l.over, running.Run)
		return 0
	}
	since, known := l.over[running.Run]
	if !known {
		since = l.read
		if l.views == 1 {
			since = l.read.Add(-pacing.LongOver)
		}
		l.over[running.Run] = since
	}
	return l.read.Sub(since)
}

// weight returns by how much an image lowers the headroom of a serving one, as the lead tells.
func (l *life) weight(serving, filling string) float64 {
	if told, known := l.presses[filling][serving]; known {
		return told
	}
	return pressure.PriorWeight
}

// paceOf returns the pace in percent that was set last.
func (l *life) paceOf(run host.Run) int {
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
