package plan

import (
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// placeGang places all tasks of a gang or none.
func (p *Planner) placeGang(g *Group) []Placement {
	if len(g.Indexes) < g.Step.Count {
		return nil
	}
	refused := false
	for _, workers := range racks(p.workers, g.Step) {
		placed, refusal := p.placeGangOn(workers, g)
		if placed != nil {
			return placed
		}
		refused = refused || refusal
	}
	if !refused {
		p.recordUnplaced(g, len(g.Indexes))
	}
	return nil
}

// placeGangOn places a gang on some workers, or returns nil and whether the reserve for short work is the reason.
func (p *Planner) placeGangOn(workers []*Worker, g *Group) (placed []Placement, refused bool) {
	run := g.Job.NextGangRun(g.Iteration, g.StepIndex)
	var used []*Worker
	candidates := p.candidates(workers, g)
	for _, i := range g.Indexes {
		w := candidates.best()
		refused = w != nil && p.reserveRefuses(g)
		if w == nil || refused {
			for _, worker := range used {
				p.undo(worker, g)
			}
			return nil, refused
		}
		used = append(used, w)
		placed = append(placed, p.place(w, g, i, run))
		candidates.updateWorker(w)
	}
	return placed, false
}

// racks returns the sets of workers to try for a gang: each rack by itself if the step prefers a single rack, then all
// workers.
func racks(workers []*Worker, step *job.Step) [][]*Worker {
	var sets [][]*Worker
	if step.SameRack {
		byRack := make(map[string][]*Worker)
		var names []string
		for _, w := range workers {
			rack := w.rack()
			if _, known := byRack[rack]; !known {
				names = append(names, rack)
			}
			byRack[rack] = append(byRack[rack], w)
		}
		slices.Sort(names)
		for _, name := range names {
			sets = append(sets, byRack[name])
		}
	}
	return append(sets, workers)
}

// rack returns the second label, which names the rack; the first names the kind of worker.
func (w *Worker) rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[1]
}
