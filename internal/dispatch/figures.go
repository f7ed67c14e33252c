package dispatch

import (
	"math"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/plan"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

const (
	// sampleEvery is the shortest time between two samples of a worker, whose figures are over half a second.
	sampleEvery = 450 * time.Millisecond
	// newest is the weight of the newest sample in a serving task's base level: its load swings within seconds.
	newest = 0.3
	// slows is the rise of a level by a whole worker's worth of an image from which on a pair counts as harmful.
	slows = 0.4
	// weightSteps divides 1 into the steps in which weights are told to agents.
	weightSteps = 100
	// unknownBase is the level that a serving task is taken to have before its first figure.
	unknownBase = -0.8
)

// sample teaches the model from the figures of a worker.
func (t *term) sample(h *hosted, r link.Report) {
	now := time.Now()
	if now.Sub(h.sampled) < sampleEvery || h.worker.Capacity.CPU == 0 {
		return
	}
	h.sampled = now
	use := make(map[string]float64)
	levels := make(map[*placed]float64)
	for _, running := range r.Running {
		id, ok := running.TaskID()
		p := h.runs[id]
		if !ok || p == nil || p.run != running.Number {
			continue
		}
		switch {
		case p.step.Fills:
			use[p.step.Image] += float64(running.Figure) / float64(h.worker.Capacity.CPU)
		case p.step.Serves() && running.Figure > 0:
			levels[p] = pressure.Level(float64(running.Figure), float64(p.step.Target.Milliseconds()))
		}
	}
	for p, level := range levels {
		t.pressure.Observe(p.step.Image, use, level)
		p.settle(level - t.pressure.Rise(p.step.Image, use))
	}
}

// settle takes a sample of the base level.
func (p *placed) settle(base float64) {
	if !p.known {
		p.base, p.known = base, true
		return
	}
	p.base += newest * (base - p.base)
}

// serving returns the tasks that serve on a worker with their levels.
func (h *hosted) serving() []plan.Served {
	var served []plan.Served
	for _, p := range h.runs {
		if !p.step.Serves() {
			continue
		}
		base := unknownBase
		if p.known {
			base = p.base
		}
		served = append(served, plan.Served{Image: p.step.Image, Base: base})
	}
	return served
}

// presses returns by how much each image that fills a worker slows each serving image there.
func (t *term) presses(host job.Host) map[string]map[string]float64 {
	h := t.hosts[host]
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
			if weight, _ := t.pressure.Weight(s, f); weight >= slows {
				found[f][s] = math.Round(weight*weightSteps) / weightSteps
			}
		}
	}
	return found
}
