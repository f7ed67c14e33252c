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
	// paceInterval is the shortest time between two changes of the pace, whose effect the next figures show.
	paceInterval = 400 * time.Millisecond
	// prolongedViolation is how long a serving task may be over its target before all that fills must give way, a second after what is
	// known to slow it must.
	prolongedViolation = pacing.ViolationGrace + time.Second
	// paceHorizon is how far ahead a pace looks: until the next figures show its effect.
	paceHorizon = 500 * time.Millisecond
	// maxLoadAge is how long what the lead told of a load is used: some reports that went unanswered.
	maxLoadAge = 2 * time.Second
	// minTrackedHeadroom is the headroom below which a figure tells nothing of the task's own load.
	minTrackedHeadroom = 0.3
)

// adjustPaces sets the pace of what fills, by image, from what the tasks that serve show.
func (r *Runner) adjustPaces(ctx context.Context, w *workerState) {
	if now := time.Now(); now.Sub(w.pacesSetAt) >= paceInterval && w.report.Capacity.CPU > 0 {
		w.pacesSetAt = now
		filling, use := w.bestEffort()
		felt := pressure.Mean(w.usedShares, use)
		w.usedShares = use
		w.targetPaces = pacing.Choose(w.servingTasks(now, felt, filling), filling, w.backlog)
	}
	for _, running := range w.view.Running {
		p, known := w.profiles[running.Run]
		pace, wanted := w.targetPace(p.Image)
		if !known || !p.BestEffort || !wanted || w.paceOf(running.Run) == pace {
			continue
		}
		w.paces[running.Run] = pace
		fence := r.fences.use()
		r.orderTasks.Go(func() { r.setPace(ctx, w.id, running.Run, pace, fence) })
	}
}

// targetPace returns the pace of an image in percent, false where none was reckoned yet. What comes while all that fills
// stands has to stand too.
func (w *workerState) targetPace(image string) (int, bool) {
	if w.violatesTargetFor(prolongedViolation) {
		return pacing.Min, true
	}
	pace, wanted := w.targetPaces[image]
	return pace, wanted
}

// violatesTargetFor reports whether some serving task has been over its target for a time.
func (w *workerState) violatesTargetFor(least time.Duration) bool {
	for _, since := range w.violations {
		if w.clockReadAt.Sub(since) > least {
			return true
		}
	}
	return false
}

// bestEffort returns the images of what fills the worker, and the share of the worker that each uses.
func (w *workerState) bestEffort() ([]pacing.BestEffort, map[string]float64) {
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

// servingTasks returns what the tasks that serve will likely show, after what they show beside what was used.
func (w *workerState) servingTasks(now time.Time, felt map[string]float64, filling []pacing.BestEffort) []pacing.ServingTask {
	var served []pacing.ServingTask
	for _, running := range w.view.Running {
		p := w.profiles[running.Run]
		if p.TargetMillis == 0 || running.Measurement == 0 {
			continue
		}
		over := w.recordViolation(running)
		s := pacing.ServingTask{Weights: make(map[string]float64), SustainedViolation: over > pacing.ViolationGrace, ProlongedViolation: over > prolongedViolation}
		s.Headroom, s.Deviation = w.predictHeadroom(now, running, p, felt)
		for _, f := range filling {
			s.Weights[f.Image] = w.interferenceWeight(p.Image, f.Image)
		}
		served = append(served, s)
	}
	return served
}

// predictHeadroom returns the headroom that a serving task likely has soon without neighbors, and its standard deviation: from the load
// that the lead tells, where it did so of late, and else from the task's own track.
func (w *workerState) predictHeadroom(now time.Time, running host.Running, p link.Profile, felt map[string]float64) (float64, float64) {
	soon := now.Add(paceHorizon)
	headroom, deviation := w.trackHeadroom(now, running, p, felt).Predict(soon)
	load, known := w.loads[running.Run.Task.StepName()]
	if !known || now.Sub(load.Time) > maxLoadAge {
		return headroom, deviation
	}
	own := entryOf(w.residuals, running.Run)
	shown := pressure.Headroom(float64(running.Measurement), float64(p.TargetMillis))
	own.Observe(now, shown-max(load.Predict(now, w.loadFrequency)-w.interferenceOf(p.Image, felt), 0))
	return load.Predict(soon, w.loadFrequency) + own.Predict(soon), load.Deviation
}

// trackHeadroom takes the headroom that a serving task shows into its track, as it would be without what was used beside it.
func (w *workerState) trackHeadroom(now time.Time, running host.Running, p link.Profile, felt map[string]float64) *pressure.Tracker {
	track := entryOf(w.trackers, running.Run)
	track.SetFrequency(w.loadFrequency)
	target := float64(p.TargetMillis)
	headroom := pressure.Headroom(float64(running.Measurement), target)
	if headroom >= minTrackedHeadroom || !track.HasObservation() {
		track.Observe(now, headroom+w.interferenceOf(p.Image, felt), pressure.MeasurementVariance(headroom, target))
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

// interferenceOf returns by how much what was used lowers the headroom of a serving image.
func (w *workerState) interferenceOf(serving string, use map[string]float64) float64 {
	sum := 0.0
	for image, share := range use {
		sum += w.interferenceWeight(serving, image) * share
	}
	return sum
}

// recordViolation returns for how long a serving task has been over its target. One that is found over, as an agent that was
// started again finds it, is taken to have been over for long: nobody knows how long it was before.
func (w *workerState) recordViolation(running host.Running) time.Duration {
	if int64(running.Measurement) <= w.profiles[running.Run].TargetMillis {
		delete(w.violations, running.Run)
		return 0
	}
	since, known := w.violations[running.Run]
	if !known {
		since = w.clockReadAt
		if w.views == 1 {
			since = w.clockReadAt.Add(-pacing.ViolationGrace)
		}
		w.violations[running.Run] = since
	}
	return w.clockReadAt.Sub(since)
}

// interferenceWeight returns by how much an image lowers the headroom of a serving one, as the lead tells.
func (w *workerState) interferenceWeight(serving, filling string) float64 {
	if told, known := w.interference[filling][serving]; known {
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
