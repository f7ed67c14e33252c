package plan

import "github.com/saffronpulley/saffronpulley/internal/health"

// healthyEnough reports whether a task of the group may start on the worker by the worker's health and the group's earlier
// failures. An ejected worker only takes trials: tasks that are not members of a gang, long-running ones once they have waited for another worker.
func (w *Worker) healthyEnough(g *Group) bool {
	switch {
	case g.Excluded[w.Host]:
		return false
	case g.LastAttempt:
		return w.Health <= g.WorstHealth
	case w.Health == health.Ejected:
		return !g.Step.Gang && (!g.Step.LongRunning || g.AcceptsEjected)
	}
	return true
}

// healthCost returns the cost of the worker's state. Short work is exempt on ejected workers, since a failed trial costs it least and a worker that has
// recovered is readmitted soon; long-running tasks take them after degraded ones.
func (w *Worker) healthCost(g *Group) float64 {
	switch {
	case w.Health == health.Healthy || w.Health == health.Ejected && g.Step.IsShort():
		return 0
	case w.Health == health.Ejected && g.Step.LongRunning:
		return 2 * unhealthyWorkerCost
	}
	return unhealthyWorkerCost
}

// trialsOf returns the bound of the tasks of a group that may still be placed on the worker.
func (w *Worker) trialsOf(g *Group) *int {
	if w.Health == health.Ejected && g.Step.LongRunning {
		return &w.LongRunningTrials
	}
	return &w.Trials
}

// healthLimit identifies the tasks that may start on the same workers as far as health decides.
type healthLimit int

// noHealthLimit is the limit of finite tasks that are not on their last attempt. If a worker is ejected, longRunningLimit is
// that of long-running tasks, and waitedLimit that of those that accept ejected workers, which have trials of their own; the
// others are those of last attempts, by WorstHealth.
const (
	noHealthLimit healthLimit = iota
	longRunningLimit
	waitedLimit
	lastAttemptLimit
)

func (p *Planner) healthLimitOf(g *Group) healthLimit {
	switch {
	case g.LastAttempt:
		return lastAttemptLimit + healthLimit(g.WorstHealth)
	case p.hasEjected && g.Step.LongRunning && g.AcceptsEjected:
		return waitedLimit
	case p.hasEjected && g.Step.LongRunning:
		return longRunningLimit
	}
	return noHealthLimit
}

// excludesSuitable reports whether a worker that the group excludes would be suitable for one of its tasks: then finding no
// other says nothing about groups that do not exclude it.
func (p *Planner) excludesSuitable(g *Group) bool {
	if len(g.Excluded) == 0 {
		return false
	}
	open := *g
	open.Excluded = nil
	for _, w := range p.workers {
		if !g.Excluded[w.Host] || !w.admits(&open) {
			continue
		}
		if _, suitable := p.costOf(w, &open); suitable {
			return true
		}
	}
	return false
}
