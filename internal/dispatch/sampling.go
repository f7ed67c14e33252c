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
	// sampleInterval is the shortest time between two samples of a worker, whose figures are over half a second.
	sampleInterval = 450 * time.Millisecond
	// forecastHorizon is how far ahead a placement looks at what serves: about half of the time that a task that fills takes.
	forecastHorizon = time.Second
	// weightResolution divides 1 into the steps in which weights are told to agents.
	weightResolution = 10
	// headroomResolution and swingSteps do the same for headrooms and for the speed of swings.
	headroomResolution  = 100
	frequencyResolution = 100
)

// quantize returns a number with so many steps to 1, which keeps messages short.
func quantize(number, steps float64) float64 { return math.Round(number*steps) / steps }

// sample teaches the model from the figures of a worker.
func (t *term) sample(h *hostState, r link.Report) {
	now := time.Now()
	if now.Sub(h.sampledAt) < sampleInterval || h.worker.Capacity.CPU == 0 {
		return
	}
	h.sampledAt = now
	use, serving := h.measurements(r)
	felt := pressure.Mean(h.imageUsage, use)
	h.imageUsage = use
	t.observeHeadrooms(now, serving, felt)
}

// measurements returns the share of the worker that each image that fills uses by a report, and the tasks that serve and show a
// tail, by the load that they share.
func (h *hostState) measurements(r link.Report) (map[string]float64, map[string][]*placedRun) {
	use, serving := make(map[string]float64), make(map[string][]*placedRun)
	for _, running := range r.Running {
		p := h.findRun(running.Run)
		if p == nil {
			continue
		}
		switch {
		case p.step.BestEffort:
			use[p.step.Image] += float64(running.Measurement) / float64(h.worker.Capacity.CPU)
		case p.step.Serves() && running.Measurement > 0 && !p.stopping:
			id, _ := running.TaskID()
			name := id.StepName()
			serving[name] = append(serving[name], p)
		}
	}
	return use, serving
}

// observeHeadrooms teaches the model the headrooms of tasks that serve on one worker, beside what was used there.
func (t *term) observeHeadrooms(now time.Time, serving map[string][]*placedRun, felt map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(serving)) {
		tasks := serving[name]
		step := tasks[0].step
		s := pressure.Sample{Image: step.Image, Load: name, TargetMillis: float64(step.Target.Milliseconds())}
		for _, p := range tasks {
			s.Headrooms = append(s.Headrooms, pressure.Headroom(float64(p.measurement), s.TargetMillis))
		}
		expected := t.pressure.Observe(now, s, felt)
		for i, p := range tasks {
			p.headroomOffset.Observe(now, s.Headrooms[i]-expected)
		}
	}
}

// servingTasks returns the tasks that serve on a worker with their headrooms.
func (t *term) servingTasks(h *hostState) []plan.ServingTask {
	at := time.Now().Add(forecastHorizon)
	var served []plan.ServingTask
	for _, id := range h.runsWhere((*placedRun).serves) {
		p := h.runs[id]
		headroom, deviation := t.pressure.Predict(p.step.Image, id.StepName(), at)
		served = append(served, plan.ServingTask{Image: p.step.Image, Headroom: headroom + p.headroomOffset.Predict(at), Deviation: deviation})
	}
	return served
}

// interferenceWeights returns by how much each image that fills a worker lowers the headroom of each serving image there.
func (t *term) interferenceWeights(host job.Host) map[string]map[string]float64 {
	h := t.hosts.get(host)
	if h == nil {
		return nil
	}
	filling, serving := make(map[string]bool), make(map[string]bool)
	for _, p := range h.runs {
		switch {
		case p.step.BestEffort:
			filling[p.step.Image] = true
		case p.step.Serves():
			serving[p.step.Image] = true
		}
	}
	found := make(map[string]map[string]float64, len(filling))
	for f := range filling {
		found[f] = make(map[string]float64)
		for s := range serving {
			weight, _ := t.pressure.Weight(s, f)
			found[f][s] = quantize(weight, weightResolution)
		}
	}
	return found
}

// serviceLoads returns what is known of the serviceLoads of the tasks that serve on a worker, by their steps.
func (t *term) serviceLoads(host job.Host) map[string]link.Load {
	h := t.hosts.get(host)
	if h == nil {
		return nil
	}
	now := time.Now()
	found := make(map[string]link.Load)
	for id, p := range h.runs {
		name := id.StepName()
		if _, told := found[name]; told || !p.step.Serves() {
			continue
		}
		if l, known := t.pressure.Load(p.step.Image, name, now); known {
			found[name] = link.Load{
				Headroom: quantize(l.Headroom, headroomResolution), Slope: quantize(l.Slope, headroomResolution),
				Mean: quantize(l.Mean, headroomResolution), Deviation: quantize(l.Deviation, headroomResolution),
			}
		}
	}
	return found
}

// recordOverTarget takes note of since when a task has been over its target.
func (p *placedRun) recordOverTarget() {
	switch {
	case !p.step.Serves() || p.measurement <= int(p.step.Target.Milliseconds()):
		p.overTargetSince = time.Time{}
	case p.overTargetSince.IsZero():
		p.overTargetSince = time.Now()
	}
}

// longOverTarget reports whether a task is over its target for so long that nothing may be added that could slow it.
func (p *placedRun) longOverTarget() bool {
	return !p.overTargetSince.IsZero() && time.Since(p.overTargetSince) > pacing.ViolationGrace
}

// serves reports whether the task serves users.
func (p *placedRun) serves() bool { return p.step.Serves() }
