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
	// sampleEvery is the shortest time between two samples of a worker, whose figures are over half a second.
	sampleEvery = 450 * time.Millisecond
	// aheadOf is how far ahead a placement looks at what serves: about half of the time that a task that fills takes.
	aheadOf = time.Second
	// weightSteps divides 1 into the steps in which weights are told to agents.
	weightSteps = 10
	// loadSteps and swingSteps do the same for headrooms and for the speed of swings.
	loadSteps  = 100
	swingSteps = 100
)

// round returns a number with so many steps to 1, which keeps messages short.
func round(number, steps float64) float64 { return math.Round(number*steps) / steps }

// sample teaches the model from the figures of a worker.
func (t *term) sample(h *hosted, r link.Report) {
	now := time.Now()
	if now.Sub(h.sampled) < sampleEvery || h.worker.Capacity.CPU == 0 {
		return
	}
	h.sampled = now
	use, serving := h.figures(r)
	felt := pressure.Mean(h.used, use)
	h.used = use
	t.observe(now, serving, felt)
}

// figures returns the share of the worker that each image that fills uses by a report, and the tasks that serve and show a
// tail, by the load that they share.
func (h *hosted) figures(r link.Report) (map[string]float64, map[string][]*placed) {
	use, serving := make(map[string]float64), make(map[string][]*placed)
	for _, running := range r.Running {
		p := h.run(running.Run)
		if p == nil {
			continue
		}
		switch {
		case p.step.Fills:
			use[p.step.Image] += float64(running.Figure) / float64(h.worker.Capacity.CPU)
		case p.step.Serves() && running.Figure > 0 && !p.stopping:
			id, _ := running.TaskID()
			name := id.StepName()
			serving[name] = append(serving[name], p)
		}
	}
	return use, serving
}

// observe teaches the model the headrooms of tasks that serve on one worker, beside what was used there.
func (t *term) observe(now time.Time, serving map[string][]*placed, felt map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(serving)) {
		tasks := serving[name]
		step := tasks[0].step
		s := pressure.Sample{Image: step.Image, Load: name, TargetMillis: float64(step.Target.Milliseconds())}
		for _, p := range tasks {
			s.Headrooms = append(s.Headrooms, pressure.Headroom(float64(p.figure), s.TargetMillis))
		}
		expected := t.pressure.Observe(now, s, felt)
		for i, p := range tasks {
			p.own.Observe(now, s.Headrooms[i]-expected)
		}
	}
}

// serving returns the tasks that serve on a worker with their headrooms.
func (t *term) serving(h *hosted) []plan.Served {
	at := time.Now().Add(aheadOf)
	var served []plan.Served
	for _, id := range h.runsWhich((*placed).serves) {
		p := h.runs[id]
		headroom, deviation := t.pressure.Ahead(p.step.Image, id.StepName(), at)
		served = append(served, plan.Served{Image: p.step.Image, Headroom: headroom + p.own.Ahead(at), Deviation: deviation})
	}
	return served
}

// presses returns by how much each image that fills a worker lowers the headroom of each serving image there.
func (t *term) presses(host job.Host) map[string]map[string]float64 {
	h := t.hosts.get(host)
	if h == nil {
		return nil
	}
	filling, serving := make(map[string]bool), make(map[string]bool)
	for _, p := range h.runs {
		switch {
		case p.step.Fills:
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
			found[f][s] = round(weight, weightSteps)
		}
	}
	return found
}

// loads returns what is known of the loads of the tasks that serve on a worker, by their steps.
func (t *term) loads(host job.Host) map[string]link.Load {
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
				Value: round(l.Value, loadSteps), Slope: round(l.Slope, loadSteps),
				Usual: round(l.Usual, loadSteps), Deviation: round(l.Deviation, loadSteps),
			}
		}
	}
	return found
}

// noteOver takes note of since when a task has been over its target.
func (p *placed) noteOver() {
	switch {
	case !p.step.Serves() || p.figure <= int(p.step.Target.Milliseconds()):
		p.over = time.Time{}
	case p.over.IsZero():
		p.over = time.Now()
	}
}

// overForLong reports whether a task is over its target for so long that nothing may be added that could slow it.
func (p *placed) overForLong() bool {
	return !p.over.IsZero() && time.Since(p.over) > pacing.LongOver
}

// serves reports whether the task serves users.
func (p *placed) serves() bool { return p.step.Serves() }
