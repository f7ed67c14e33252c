package runner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

const (
	// adjustEvery is the shortest time between two changes of the pace, whose effect the next figures show.
	adjustEvery = 400 * time.Millisecond
	// longerOver is how long a serving task may be over its target before all that fills must give way, a second after what is
	// known to slow it must.
	longerOver = pacing.ViolationGrace + time.Second
	// aheadOf is how far ahead a pace looks: until the next figures show its effect.
	aheadOf = 500 * time.Millisecond
	// loadFor is how long what the lead told of a load is used: some reports that went unanswered.
	loadFor = 2 * time.Second
	// sureOf is the headroom below which a figure tells nothing of the task's own load.
	sureOf = 0.3
)

// adjust sets the pace of what fills, by image, from what the tasks that serve show.
func (r *Runner) adjust(ctx context.Context, w *workerState) {
	if now := time.Now(); now.Sub(w.adjusted) >= adjustEvery && w.report.Capacity.CPU > 0 {
		w.adjusted = now
		filling, use := w.filling()
		felt := pressure.Mean(w.used, use)
		w.used = use
		w.wanted = pacing.Choose(w.served(now, felt, filling), filling, w.starved)
	}
	for _, running := range w.view.Running {
		p, known := w.profiles[running.Run]
		pace, wanted := w.wantedPace(p.Image)
		if !known || !p.BestEffort || !wanted || w.paceOf(running.Run) == pace {
			continue
		}
		w.paces[running.Run] = pace
		fence := r.fences.use()
		r.work.Go(func() { r.setPace(ctx, w.id, running.Run, pace, fence) })
	}
}

// wantedPace returns the pace of an image in percent, false where none was reckoned yet. What comes while all that fills
// stands has to stand too.
func (w *workerState) wantedPace(image string) (int, bool) {
	if w.overFor(longerOver) {
		return pacing.Min, true
	}
	pace, wanted := w.wanted[image]
	return pace, wanted
}

// overFor reports whether some serving task has been over its target for a time.
func (w *workerState) overFor(least time.Duration) bool {
	for _, since := range w.over {
		if w.read.Sub(since) > least {
			return true
		}
	}
	return false
}

// filling returns the images of what fills the worker, and the share of the worker that each uses.
func (w *workerState) filling() ([]pacing.BestEffort, map[string]float64) {
	whole, use := make(map[string]float64), make(map[string]float64)
	for _, running := range w.view.Running {
		p := w.profiles[running.Run]
		if !p.BestEffort {
			continue
		}
		use[p.Image] += w.share(running.Measurement)
		whole[p.Image] += w.share(p.CPU)
	}
	filling := make([]pacing.BestEffort, 0, len(whole))
	for _, image := range slices.Sorted(maps.Keys(whole)) {
		filling = append(filling, pacing.BestEffort{Image: image, FullShare: whole[image]})
	}
	return filling, use
}

// share returns thousandths of a core as a share of the worker.
func (w *workerState) share(cpu int) float64 { return float64(cpu) / float64(w.report.Capacity.CPU) }

// served returns what the tasks that serve will likely show, after what they show beside what was used.
func (w *workerState) served(now time.Time, felt map[string]float64, filling []pacing.BestEffort) []pacing.ServingTask {
	var served []pacing.ServingTask
	for _, running := range w.view.Running {
		p := w.profiles[running.Run]
		if p.TargetMillis == 0 || running.Measurement == 0 {
			continue
		}
		over := w.noteOver(running)
		s := pacing.ServingTask{Weights: make(map[string]float64), SustainedViolation: over > pacing.ViolationGrace, ProlongedViolation: over > longerOver}
		s.Headroom, s.Deviation = w.ahead(now, running, p, felt)
		for _, f := range filling {
			s.Weights[f.Image] = w.weight(p.Image, f.Image)
		}
		served = append(served, s)
	}
	return served
}

// ahead returns the headroom that a serving task likely has soon without neighbors, and its standard deviation: from the load
// that the lead tells, where it did so of late, and else from the task's own track.
func (w *workerState) ahead(now time.Time, running host.Running, p link.Profile, felt map[string]float64) (float64, float64) {
	soon := now.Add(aheadOf)
	headroom, deviation := w.follow(now, running, p, felt).Predict(soon)
	load, known := w.loads[running.Run.Task.StepName()]
	if !known || now.Sub(load.Time) > loadFor {
		return headroom, deviation
	}
	own := entryOf(w.owns, running.Run)
	shown := pressure.Headroom(float64(running.Measurement), float64(p.TargetMillis))
	own.Observe(now, shown-max(load.Predict(now, w.swing)-w.pressed(p.Image, felt), 0))
	return load.Predict(soon, w.swing) + own.Predict(soon), load.Deviation
}

// follow takes the headroom that a serving task shows into its track, as it would be without what was used beside it.
func (w *workerState) follow(now time.Time, running host.Running, p link.Profile, felt map[string]float64) *pressure.Tracker {
	track := entryOf(w.tracks, running.Run)
	track.SetFrequency(w.swing)
	target := float64(p.TargetMillis)
	headroom := pressure.Headroom(float64(running.Measurement), target)
	if headroom >= sureOf || !track.HasObservation() {
		track.Observe(now, headroom+w.pressed(p.Image, felt), pressure.MeasurementVariance(headroom, target))
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
func (w *workerState) pressed(serving string, use map[string]float64) float64 {
	sum := 0.0
	for image, share := range use {
		sum += w.weight(serving, image) * share
	}
	return sum
}

// noteOver returns for how long a serving task has been over its target. One that is found over, as an agent that was
// started again finds it, is taken to have been over for long: nobody knows how long it was before.
func (w *workerState) noteOver(running host.Running) time.Duration {
	if int64(running.Measurement) <= w.profiles[running.Run].TargetMillis {
		delete(w.over, running.Run)
		return 0
	}
	since, known := w.over[running.Run]
	if !known {
		since = w.read
		if w.views == 1 {
			since = w.read.Add(-pacing.ViolationGrace)
		}
		w.over[running.Run] = since
	}
	return w.read.Sub(since)
}

// weight returns by how much an image lowers the headroom of a serving one, as the lead tells.
func (w *workerState) weight(serving, filling string) float64 {
	if told, known := w.presses[filling][serving]; known {
		return told
	}
	return pressure.PriorWeight
}

// paceOf returns the pace in percent that was set last.
func (w *workerState) paceOf(run host.Run) int {
	if pace, known := w.paces[run]; known {
		return pace
	}
	return pacing.Full
}

// setPace sends a pace to the worker; one that is not set is reckoned and sent again.
func (r *Runner) setPace(ctx context.Context, id incarnation.ID, run host.Run, pace int, fence uint64) {
	refusal, err := r.config.Worker.Pace(ctx, id, run, pace, fence)
	if err == nil && refusal == host.Accepted {
		return
	}
	r.logger.Debug("pace not set; task=%s run=%d pace=%d refusal=%s reason=%v", run.Task, run.Number, pace, refusal, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker != nil && r.worker.id == id {
		delete(r.worker.paces, run)
	}
}
