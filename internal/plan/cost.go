package plan

import (
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// maxViolationShare is the part of a best-effort task's value that the expected target violations may cost on its
// worker. A task that costs more would soon be throttled and would meanwhile keep its memory from others.
const maxViolationShare = 0.3

// backlogViolationShare is added to maxViolationShare in proportion to the batch backlog.
const backlogViolationShare = 0.6

// netValue returns the value of a best-effort task on a worker minus the expected target violations, and whether the
// worker is suitable for it.
func (p *Planner) netValue(w *Worker, g *Group) (float64, bool) {
	value := w.share(g.Step.Size.CPU) / pressure.ViolationCost
	violations := w.addedViolations(g.Step, p.pressure)
	crowded := w.Spare() < g.Step.Size.CPU && w.BestEffortCPU > 0
	return value - violations, violations <= (maxViolationShare+backlogViolationShare*p.backlog)*value && !crowded
}

// Weights of a placement's cost, in shares of a worker's processors. Avoided workers come last, remote data costs more
// than any difference in load, and the net value of a best-effort task outweighs both. Serving tasks of one image are
// slowed by the same neighbors, so they are packed onto the same workers: then best-effort tasks slow few of them and
// still find workers where they slow none.
const (
	avoidedWorkerCost = 10.0
	remoteDataCost    = 2.0
	netValueWeight    = 2.0
	conflictCost      = 2.0
	emptyWorkerCost   = 0.5
	// unhealthyWorkerCost exceeds the sum of all other terms: degraded workers are chosen last.
	unhealthyWorkerCost = 1000.0
	// bestEffortWeight is the weight of CPU in use by best-effort tasks relative to reserved CPU, for tasks without a
	// latency target.
	bestEffortWeight = 0.25
)

// costOf returns the cost of a task of the group on the worker, and false if the worker is unsuitable.
func (p *Planner) costOf(w *Worker, g *Group) (float64, bool) {
	if w.Capacity.CPU == 0 {
		return 0, false
	}
	var cost float64
	switch {
	case g.Step.BestEffort:
		netValue, suitable := p.netValue(w, g)
		if !g.NoneRunning && !suitable {
			return 0, false
		}
		cost = 1 - w.share(w.Spare()) - netValueWeight*netValue
	case g.Step.Serves():
		cost = 1 - w.share(w.Used.CPU)
		if w.ServingCPU == 0 {
			cost += emptyWorkerCost
		}
		cost += conflictCost * w.conflict(g.Step.Image, p.pressure)
	default:
		cost = w.share(w.Used.CPU) + bestEffortWeight*w.share(w.BestEffortCPU)
	}
	if g.Avoid[w.Host] || w.Stopping {
		cost += avoidedWorkerCost
	}
	cost += w.healthCost(g)
	if g.Step.Affinity != "" && !slices.Contains(w.Labels, g.Step.Affinity) {
		cost += remoteDataCost
	}
	return cost, true
}
