package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

const (
	// sampleInterval is the least time between two samples of a worker; its measurements cover half a second each.
	sampleInterval = 450 * time.Millisecond
	// forecastHorizon is how far ahead a placement predicts headrooms: about half of the run time of a best-effort task.
	forecastHorizon = time.Second
	// weightResolution is the number of steps from 0 to 1 to which interference weights for agents are rounded.
	weightResolution = 10
	// headroomResolution and frequencyResolution are the same for headrooms and for load frequencies.
	headroomResolution  = 100
	frequencyResolution = 100
)

// quantize rounds a number to a multiple of 1/steps, which keeps messages short.
func quantize(number, steps float64) float64 { return math.Round(number*steps) / steps }

// sample updates the interference model with the measurements of a worker.
func (t *term) sample(h *hostState, r link.Report) {
	now := time.Now()
	if now.Sub(h.sampledAt) < sampleInterval || h.worker.Capacity.CPU == 0 {
		return
	}
	h.sampledAt = now
	usage, serving := h.measurements(r)
	mean := pressure.Mean(h.imageUsage, usage)
	h.imageUsage = usage
	t.observeHeadrooms(now, serving, mean)
}

// measurements returns the share of the worker that each best-effort image uses by a report, and the serving tasks with a
// tail latency, grouped by the step whose load they share.
func (h *hostState) measurements(r link.Report) (map[string]float64, map[string][]*placedRun) {
	usage, serving := make(map[string]float64), make(map[string][]*placedRun)
	for _, running := range r.Running {
		p := h.findRun(running.Run)
		if p == nil {
			continue
		}
		switch {
		case p.step.BestEffort:
			usage[p.step.Image] += float64(running.Measurement) / float64(h.worker.Capacity.CPU)
		case p.step.Serves() && running.Measurement > 0 && !p.stopping:
			id, _ := running.TaskID()
			name := id.StepName()
			serving[name] = append(serving[name], p)
		}
	}
	return usage, serving
}

// observeHeadrooms updates the interference model with the headrooms of the serving tasks on one worker and the mean
// best-effort usage there.
func (t *term) observeHeadrooms(now time.Time, serving map[string][]*placedRun, usage map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(serving)) {
		tasks := serving[name]
		step := tasks[0].step
		s := pressure.Sample{Image: step.Image, Load: name, TargetMillis: float64(step.Target.Milliseconds())}
		for _, p := range tasks {
			s.Headrooms = append(s.Headrooms, pressure.Headroom(float64(p.measurement), s.TargetMillis))
		}
		expected := t.pressure.Observe(now, s, usage)
		for i, p := range tasks {
			p.headroomOffset.Observe(now, s.Headrooms[i]-expected)
		}
	}
}

// servingTasks returns the serving tasks on a worker with their predicted headrooms.
func (t *term) servingTasks(h *hostState) []plan.ServingTask {
	at := time.Now().Add(forecastHorizon)
	var tasks []plan.ServingTask
	for _, id := range h.runsWhere((*placedRun).serves) {
		p := h.runs[id]
		headroom, deviation := t.pressure.Predict(p.step.Image, id.StepName(), at)
		tasks = append(tasks, plan.ServingTask{Image: p.step.Image, Headroom: headroom + p.headroomOffset.Predict(at), Deviation: deviation})
	}
	return tasks
}

// interferenceWeights returns how much each best-effort image on a worker lowers the headroom of each serving image there.
func (t *term) interferenceWeights(host job.Host) map[string]map[string]float64 {
	h := t.hosts.get(host)
	if h == nil {
		return nil
	}
	bestEffort, serving := make(map[string]bool), make(map[string]bool)
	for _, p := range h.runs {
		switch {
		case p.step.BestEffort:
			bestEffort[p.step.Image] = true
		case p.step.Serves():
			serving[p.step.Image] = true
		}
	}
	weights := make(map[string]map[string]float64, len(bestEffort))
	for f := range bestEffort {
		weights[f] = make(map[string]float64)
		for s := range serving {
			weight, _ := t.pressure.Weight(s, f)
			weights[f][s] = quantize(weight, weightResolution)
		}
	}
	return weights
}

// serviceLoads returns the estimated loads of the serving tasks on a worker, by step.
func (t *term) serviceLoads(host job.Host) map[string]link.Load {
	h := t.hosts.get(host)
	if h == nil {
		return nil
	}
	now := time.Now()
	loads := make(map[string]link.Load)
	for id, p := range h.runs {
		name := id.StepName()
		if _, added := loads[name]; added || !p.step.Serves() {
			continue
		}
		if estimate, ok := t.pressure.Load(p.step.Image, name, now); ok {
			loads[name] = link.Load{
				Headroom: quantize(estimate.Headroom, headroomResolution), Slope: quantize(estimate.Slope, headroomResolution),
				Mean: quantize(estimate.Mean, headroomResolution), Deviation: quantize(estimate.Deviation, headroomResolution),
			}
		}
	}
	return loads
}

// recordOverTarget records since when a serving task has been above its latency target.
func (p *placedRun) recordOverTarget() {
	switch {
	case !p.step.Serves() || p.measurement <= int(p.step.Target.Milliseconds()):
		p.overTargetSince = time.Time{}
	case p.overTargetSince.IsZero():
		p.overTargetSince = time.Now()
	}
}

// longOverTarget reports whether a task has been above its latency target for so long that no task that may slow it can be
// added.
func (p *placedRun) longOverTarget() bool {
	return !p.overTargetSince.IsZero() && time.Since(p.overTargetSince) > pacing.ViolationGrace
}

// serves reports whether the task is a serving task.
func (p *placedRun) serves() bool { return p.step.Serves() }
