package plan

import (
	"maps"
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Placement gives a task to a worker; Run is 0 for the task's next run, and the shared run of a gang.
type Placement struct {
	Task job.TaskID
	Step *job.Step
	Host job.Host
	Run  int
	// Suspect says that the task is to outlive its start there alone.
	Suspect bool
}

// Planner is one plan under way; it takes its choices into account.
type Planner struct {
	workers  []*Worker
	pressure PressureModel
	// starved is how starved batch is, from 0 to 1.
	starved float64
	// full holds, by service and image, the least size of a plain filling task that no worker suits any more.
	full map[kind]job.Size
}

// kind names filling tasks that differ by their size only.
type kind struct{ service, image string }

// New returns a planner for workers of which nothing is placed yet.
func New(workers []*Worker, weights PressureModel) *Planner {
	p := &Planner{workers: workers, pressure: weights, full: make(map[kind]job.Size)}
	for _, w := range workers {
		w.prover = nil
		for _, image := range slices.Sorted(maps.Keys(w.Shares)) {
			w.burden(image, w.Shares[image], weights)
		}
	}
	return p
}

// SetBacklog lets batch that is starved, from 0 to 1, do more harm for its worth.
func (p *Planner) SetBacklog(starved float64) { p.starved = starved }

// Place places what waits, most urgent first, and returns the placements in that order.
func (p *Planner) Place(groups []*Group) []Placement {
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

// placeEach places the tasks of a group one by one, for as long as a worker takes them.
func (p *Planner) placeEach(g *Group) []Placement {
	if p.hopeless(g) {
		return nil
	}
	var placed []Placement
	offers := p.offers(p.workers, g)
	for _, i := range g.Indexes {
		w := offers.best()
		if w == nil {
			p.noteFull(g)
			break
		}
		placed = append(placed, p.take(w, g, i, 0))
		if g.Starved {
			// The first task goes where it presses; what follows is weighed anew.
			g.Starved = false
			offers = p.offers(p.workers, g)
			continue
		}
		offers.renew(w)
	}
	return placed
}

// hopeless reports whether a task that asks for no more of the same kind has found no worker in this plan, which only
// fills workers further. A larger task does more harm for its worth, until it takes nearly a whole worker.
func (p *Planner) hopeless(g *Group) bool {
	least, known := p.full[kind{g.Service, g.Step.Image}]
	return known && g.plainFill() && least.Fits(g.Step.Size)
}

// noteFull takes note that no worker takes a task of the group any more.
func (p *Planner) noteFull(g *Group) {
	if g.plainFill() {
		p.full[kind{g.Service, g.Step.Image}] = g.Step.Size
	}
}

// plainFill reports whether only the size and the image of the group's tasks decide where they may go.
func (g *Group) plainFill() bool {
	s := g.Step
	return s.BestEffort && !g.Starved && g.SuspectScore == 0 && g.Tickets == nil && s.Requires == "" && s.AntiAffinity == 0
}

// take places a task of the group on a worker.
func (p *Planner) take(w *Worker, g *Group, index, run int) Placement {
	switch {
	case g.Step.BestEffort:
		w.burden(g.Step.Image, w.share(g.Step.Size.CPU), p.pressure)
	case g.Step.Serves():
		w.serve(g.Step.Image, p.pressure)
	}
	return g.take(w, index, run)
}

// giveBack undoes the latest take on a worker.
func (p *Planner) giveBack(w *Worker, g *Group) {
	switch {
	case g.Step.BestEffort:
		w.burden(g.Step.Image, -w.share(g.Step.Size.CPU), p.pressure)
	case g.Step.Serves():
		w.ServingTasks = w.ServingTasks[:len(w.ServingTasks)-1]
	}
	g.giveBack(w)
}

// HasSuitableWorker reports whether some worker that the group does not avoid would suit a task of it.
func (p *Planner) HasSuitableWorker(g *Group) bool {
	for _, w := range p.workers {
		if g.Avoid[w.Host] || !w.admits(g) {
			continue
		}
		if _, ok := p.gain(w, g); ok {
			return true
		}
	}
	return false
}
