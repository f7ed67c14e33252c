package plan

import (
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Placement gives a task to a worker; Run is 0 for the task's next run, and the shared run of a gang.
type Placement struct {
	Task job.TaskID
	Step *job.Step
	Host job.Host
	Run  int
}

// Make places what waits, most urgent first, and returns the placements in that order.
func Make(workers []*Worker, groups []*Group, pressure Pressure) []Placement {
	p := planner{workers: workers, pressure: pressure}
	slices.SortStableFunc(groups, before)
	var placed []Placement
	for _, g := range groups {
		if g.Step.Gang {
			placed = append(placed, p.placeGang(g)...)
			continue
		}
		placed = append(placed, p.placeEach(g)...)
	}
	return placed
}

// planner is one plan under way.
type planner struct {
	workers  []*Worker
	pressure Pressure
}

func (p planner) placeEach(g *Group) []Placement {
	var placed []Placement
	for _, i := range g.Indexes {
		w := p.best(p.workers, g)
		if w == nil {
			break
		}
		placed = append(placed, g.take(w, i, 0))
		g.Starved = false
	}
	return placed
}

// best returns the worker that suits a task of the group best, nil where none may take it.
func (p planner) best(workers []*Worker, g *Group) *Worker {
	var chosen *Worker
	var lowest float64
	for _, w := range workers {
		if !w.admits(g) {
			continue
		}
		cost, ok := p.costOf(w, g)
		if ok && (chosen == nil || cost < lowest) {
			chosen, lowest = w, cost
		}
	}
	return chosen
}

// Suits reports whether some worker that the group does not avoid would suit a task of it.
func Suits(workers []*Worker, g *Group, pressure Pressure) bool {
	p := planner{workers: workers, pressure: pressure}
	for _, w := range workers {
		if g.Avoid[w.Host] || !w.admits(g) {
			continue
		}
		if _, ok := p.gain(w, g); ok {
			return true
		}
	}
	return false
}
