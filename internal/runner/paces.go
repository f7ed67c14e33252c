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
	// paceInterval is the minimum time between two changes of the pace, so that the next measurements show the effect of each.
	paceInterval = 400 * time.Millisecond
	// prolongedViolation is how long a serving task may violate its target before all best-effort tasks are throttled to the minimum, a second after
	// those known to slow it down.
	prolongedViolation = pacing.ViolationGrace + time.Second
	// paceHorizon is how far ahead paces are planned: until the next measurements show their effect.
	paceHorizon = 500 * time.Millisecond
	// maxLoadAge is how long a load reported by the leader is used: for some reports without an answer.
	maxLoadAge = 2 * time.Second
	// minTrackedHeadroom is the headroom below which a measurement says nothing about the task's own load.
	minTrackedHeadroom = 0.3
)

// adjustPaces sets the pace of best-effort tasks, by image, from the measurements of the serving tasks.
func (r *Runner) adjustPaces(ctx context.Context, w *workerState) {
	if now := time.Now(); now.Sub(w.pacesSetAt) >= paceInterval && w.report.Capacity.CPU > 0 {
		w.pacesSetAt = now
		bestEffort, usage := w.bestEffort()
		meanUsage := pressure.Mean(w.usedShares, usage)
		w.usedShares = usage
		w.targetPaces = pacing.Choose(w.servingTasks(now, meanUsage, bestEffort), bestEffort, w.backlog)
	}
	for _, running := range w.view.Running {
		p, known := w.profiles[running.Run]
		pace, chosen := w.targetPace(p.Image)
		if !known || !p.BestEffort || !chosen || w.paceOf(running.Run) == pace {
			continue
		}
		w.paces[running.Run] = pace
		fence := r.fences.use()
		r.orderTasks.Go(func() { r.setPace(ctx, w.id, running.Run, pace, fence) })
	}
}

// targetPace returns the pace of an image in percent, false if none was chosen yet. During a prolonged violation it is the minimum, also for tasks
// that have just started.
func (w *workerState) targetPace(image string) (int, bool) {
	if w.violatesTargetFor(prolongedViolation) {
		return pacing.Min, true
	}
	pace, known := w.targetPaces[image]
	return pace, known
}

// violatesTargetFor reports whether some serving task has violated its target for longer than a duration.
func (w *workerState) violatesTargetFor(minimum time.Duration) bool {
	for _, since := range w.violations {
		if w.clockReadAt.Sub(since) > minimum {
			return true
		}
	}
	return false
}

// bestEffort returns the images of the best-effort tasks, and the share of the worker that each uses.
func (w *workerState) bestEffort() ([]pacing.BestEffort, map[string]float64) {
	fullShares, usage := make(map[string]float64), make(map[string]float64)
	for _, running := range w.view.Running {
		p := w.profiles[running.Run]
		if !p.BestEffort {
			continue
		}
		usage[p.Image] += w.share(running.Measurement)
		fullShares[p.Image] += w.share(p.CPU)
	}
	bestEffort := make([]pacing.BestEffort, 0, len(fullShares))
	for _, image := range slices.Sorted(maps.Keys(fullShares)) {
		bestEffort = append(bestEffort, pacing.BestEffort{Image: image, FullShare: fullShares[image]})
	}
	return bestEffort, usage
}

// share converts thousandths of a core to a share of the worker.
func (w *workerState) share(cpu int) float64 { return float64(cpu) / float64(w.report.Capacity.CPU) }

// servingTasks returns the predicted headrooms of the serving tasks, from their measurements beside the mean usage of best-effort tasks.
func (w *workerState) servingTasks(now time.Time, meanUsage map[string]float64, bestEffort []pacing.BestEffort) []pacing.ServingTask {
	var tasks []pacing.ServingTask
	for _, running := range w.view.Running {
		p := w.profiles[running.Run]
		if p.TargetMillis == 0 || running.Measurement == 0 {
			continue
		}
		violatedFor := w.recordViolation(running)
		s := pacing.ServingTask{Weights: make(map[string]float64), SustainedViolation: violatedFor > pacing.ViolationGrace, ProlongedViolation: violatedFor > prolongedViolation}
		s.Headroom, s.Deviation = w.predictHeadroom(now, running, p, meanUsage)
		for _, f := range bestEffort {
			s.Weights[f.Image] = w.interferenceWeight(p.Image, f.Image)
		}
		tasks = append(tasks, s)
	}
	return tasks
}

// predictHeadroom returns the headroom that a serving task will soon have without neighbors, and its standard deviation: from the load that the
// leader reported, if recent, otherwise from the task's own tracker.
func (w *workerState) predictHeadroom(now time.Time, running host.Running, p link.Profile, meanUsage map[string]float64) (float64, float64) {
	horizon := now.Add(paceHorizon)
	headroom, deviation := w.trackHeadroom(now, running, p, meanUsage).Predict(horizon)
	load, known := w.loads[running.Run.Task.StepName()]
	if !known || now.Sub(load.Time) > maxLoadAge {
		return headroom, deviation
	}
	residual := entryOf(w.residuals, running.Run)
	observed := pressure.Headroom(float64(running.Measurement), float64(p.TargetMillis))
	residual.Observe(now, observed-max(load.Predict(now, w.loadFrequency)-w.interferenceOf(p.Image, meanUsage), 0))
	return load.Predict(horizon, w.loadFrequency) + residual.Predict(horizon), load.Deviation
}

// trackHeadroom updates the tracker of a serving task with its headroom, corrected for the interference of best-effort tasks.
func (w *workerState) trackHeadroom(now time.Time, running host.Running, p link.Profile, meanUsage map[string]float64) *pressure.Tracker {
	tracker := entryOf(w.trackers, running.Run)
	tracker.SetFrequency(w.loadFrequency)
	target := float64(p.TargetMillis)
	headroom := pressure.Headroom(float64(running.Measurement), target)
	if headroom >= minTrackedHeadroom || !tracker.HasObservation() {
		tracker.Observe(now, headroom+w.interferenceOf(p.Image, meanUsage), pressure.MeasurementVariance(headroom, target))
	}
	return tracker
}

// entryOf returns the entry of a run, which it creates with the zero value if there is none.
func entryOf[T any](entries map[host.Run]*T, run host.Run) *T {
	entry := entries[run]
	if entry == nil {
		entry = new(T)
		entries[run] = entry
	}
	return entry
}

// interferenceOf returns by how much the usage of best-effort images lowers the headroom of a serving image.
func (w *workerState) interferenceOf(serving string, usage map[string]float64) float64 {
	sum := 0.0
	for image, share := range usage {
		sum += w.interferenceWeight(serving, image) * share
	}
	return sum
}

// recordViolation returns for how long a serving task has violated its target. If it does so in the first view, as after a restart of the agent, the
// violation counts as sustained, since it may have lasted for any time before.
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

// interferenceWeight returns by how much an image lowers the headroom of a serving one, as reported by the leader, or the prior.
func (w *workerState) interferenceWeight(serving, bestEffort string) float64 {
	if weight, known := w.interference[bestEffort][serving]; known {
		return weight
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

// setPace sends a pace to the worker; if that fails the pace is chosen and sent again.
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
