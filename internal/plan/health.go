package plan

import "github.com/saffronpulley/saffronpulley/internal/health"

// healthyEnough reports whether a task of the group may start on the worker by the worker's health and the group's earlier
// failures. An ejected worker only takes trials: finite tasks that are not members of a gang.
func (w *Worker) healthyEnough(g *Group) bool {
	switch {
	case g.Excluded[w.Host]:
		return false
	case g.LastAttempt:
		return w.Health <= g.WorstHealth
	case w.Health == health.Ejected:
		return !g.Step.LongRunning && !g.Step.Gang
	}
	return true
}

// constrainedByHealth reports whether the group's tasks may start on fewer workers than other best-effort tasks of the same
// size and image: then finding no worker for them says nothing about the others.
func (p *Planner) constrainedByHealth(g *Group) bool {
	return g.LastAttempt || len(g.Excluded) > 0 || p.hasEjected && g.Step.LongRunning
}
