package plan

import (
	"maps"
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Placement assigns a task to a worker; Run is 0 for the task's next run, or the shared run of a gang.
type Placement struct {
	Task job.TaskID
	Step *job.Step
	Host job.Host
	Run  int
	// Suspect is set if nothing else may start on the worker before the task has survived startup.
	Suspect bool
}

// Planner computes one plan; each decision takes the earlier ones into account.
type Planner struct {
	workers  []*Worker
	pressure PressureModel
	// backlog is the batch backlog, from 0 to 1.
	backlog float64
	// hasEjected is set if a worker is ejected.
	hasEjected bool
	// unplaceable holds, by service and image, the size of the smallest unconstrained best-effort task for which no
	// worker is suitable any more.
	unplaceable map[imageKey]job.Size
	// reserves are the reserves for short work, by service.
	reserves map[string]*serviceReserve
}

// imageKey identifies best-effort tasks that differ only in size and in the workers that their groups exclude.
type imageKey struct {
	service, image string
	limit          healthLimit
}

// New returns a planner for workers without placements of this plan.
func New(workers []*Worker, weights PressureModel) *Planner {
	p := &Planner{workers: workers, pressure: weights, unplaceable: make(map[imageKey]job.Size)}
	for _, w := range workers {
		w.suspectGroup = nil
		p.hasEjected = p.hasEjected || w.Health == health.Ejected
		for _, image := range slices.Sorted(maps.Keys(w.Shares)) {
			w.addBestEffort(image, w.Shares[image], weights)
		}
	}
	return p
}

// SetBacklog sets the batch backlog, from 0 to 1; a higher one lets best-effort tasks cause more target violations for
// their value.
func (p *Planner) SetBacklog(backlog float64) { p.backlog = backlog }

// Place places the waiting tasks, most urgent first, and returns the placements in that order.
func (p *Planner) Place(groups []*Group) []Placement {
	slices.SortStableFunc(groups, compareGroups)
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

// placeEach places the tasks of a group one by one until no worker is suitable.
func (p *Planner) placeEach(g *Group) []Placement {
	if p.knownUnplaceable(g) {
		return nil
	}
	var placed []Placement
	candidates := p.candidates(p.workers, g)
	for _, i := range g.Indexes {
		w := candidates.best()
		if w == nil {
			p.recordUnplaceable(g)
			p.recordUnplaced(g, len(g.Indexes)-len(placed))
			break
		}
		if p.reserveRefuses(g) {
			break
		}
		placed = append(placed, p.place(w, g, i, 0))
		if g.NoneRunning {
			// The first task ignores target violations; the costs for the others are computed with them.
			g.NoneRunning = false
			candidates = p.candidates(p.workers, g)
			continue
		}
		candidates.updateWorker(w)
	}
	return placed
}

// knownUnplaceable reports whether this plan found no worker for a task of the same image that is no larger. Workers
// only get fuller within a plan, and a larger task causes more target violations for its value until it takes nearly a
// whole worker.
func (p *Planner) knownUnplaceable(g *Group) bool {
	if !g.isUnconstrained() {
		return false
	}
	limits := []healthLimit{p.healthLimitOf(g)}
	if limits[0] != waitedLimit {
		// A group that is limited by health may start on a part of the workers that others may start on.
		limits = append(limits, noHealthLimit)
	}
	for _, limit := range limits {
		if smallest, known := p.unplaceable[imageKey{g.Service, g.Step.Image, limit}]; known && smallest.Fits(g.Step.Size) {
			return true
		}
	}
	return false
}

// recordUnplaceable records that no worker is suitable for a task of the group any more.
func (p *Planner) recordUnplaceable(g *Group) {
	if g.isUnconstrained() && !p.excludesSuitable(g) {
		p.unplaceable[imageKey{g.Service, g.Step.Image, p.healthLimitOf(g)}] = g.Step.Size
	}
}

// isUnconstrained reports whether only the size and the image of the group's best-effort tasks, the health of workers and
// the excluded ones decide where they can run.
func (g *Group) isUnconstrained() bool {
	s := g.Step
	return s.BestEffort && !g.NoneRunning && g.SuspectScore == 0 && g.Tickets == nil && s.Requires == "" && s.AntiAffinity == 0
}

// place places a task of the group on a worker.
func (p *Planner) place(w *Worker, g *Group, index, run int) Placement {
	switch {
	case g.Step.BestEffort:
		w.addBestEffort(g.Step.Image, w.share(g.Step.Size.CPU), p.pressure)
	case g.Step.Serves():
		w.addServing(g.Step.Image, p.pressure)
	}
	p.takeAvailable(g, 1)
	return g.place(w, index, run)
}

// undo reverts the latest placement on a worker.
func (p *Planner) undo(w *Worker, g *Group) {
	switch {
	case g.Step.BestEffort:
		w.addBestEffort(g.Step.Image, -w.share(g.Step.Size.CPU), p.pressure)
	case g.Step.Serves():
		w.ServingTasks = w.ServingTasks[:len(w.ServingTasks)-1]
	}
	p.takeAvailable(g, -1)
	g.undo(w)
}

// HasSuitableWorker reports whether a worker that the group does not avoid is suitable for one of its tasks.
func (p *Planner) HasSuitableWorker(g *Group) bool {
	for _, w := range p.workers {
		if g.Avoid[w.Host] || w.Stopping || w.Health != health.Healthy || !w.admits(g) {
			continue
		}
		if _, ok := p.netValue(w, g); ok {
			return true
		}
	}
	return false
}
