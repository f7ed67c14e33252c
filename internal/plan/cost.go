package plan

import (
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// mostHarm is the part of the worth of a task's work that the harm to serving tasks may eat up where it is placed: what
// does more harm is paced down before long, and keeps its memory from others meanwhile.
const mostHarm = 0.3

// lenientHarm is how much of the worth the harm may eat up besides where batch is starved altogether.
const lenientHarm = 0.6

// gain returns what a filling task is worth on a worker beyond the harm that it does there, and whether it suits.
func (p *Planner) gain(w *Worker, g *Group) (float64, bool) {
	worth := w.share(g.Step.Size.CPU) / pressure.ViolationCost
	harm := w.harm(g.Step, p.pressure)
	crowded := w.Spare() < g.Step.Size.CPU && w.BestEffortCPU > 0
	return worth - harm, harm <= (mostHarm+lenientHarm*p.starved)*worth && !crowded
}

// Weights of a placement's cost, in shares of a worker's processors: what is avoided goes last of all, data that
// lies elsewhere costs more than any crowding, and the gain of a task that fills over the harm that it does goes before that.
// Serving tasks of one image suffer from the same neighbors, so they are packed onto the same workers: what fills harms few
// of them then, and finds workers that it does not harm.
const (
	avoidedCost = 10.0
	farCost     = 2.0
	gainWeight  = 2.0
	clashCost   = 2.0
	emptyCost   = 0.5
	// fillingWeight is what a share in use by what fills counts beside one that is taken, for tasks that do not serve.
	fillingWeight = 0.25
)

// costOf returns what a task of the group costs on the worker, and whether it would get anything at all there.
func (p *Planner) costOf(w *Worker, g *Group) (float64, bool) {
	if w.Capacity.CPU == 0 {
		return 0, false
	}
	var cost float64
	switch {
	case g.Step.BestEffort:
		gain, suits := p.gain(w, g)
		if !g.Starved && !suits {
			return 0, false
		}
		cost = 1 - w.share(w.Spare()) - gainWeight*gain
	case g.Step.Serves():
		cost = 1 - w.share(w.Used.CPU)
		if w.ServingCPU == 0 {
			cost += emptyCost
		}
		cost += clashCost * w.clash(g.Step.Image, p.pressure)
	default:
		cost = w.share(w.Used.CPU) + fillingWeight*w.share(w.BestEffortCPU)
	}
	if g.Avoid[w.Host] {
		cost += avoidedCost
	}
	if g.Step.Affinity != "" && !slices.Contains(w.Labels, g.Step.Affinity) {
		cost += farCost
	}
	return cost, true
}
