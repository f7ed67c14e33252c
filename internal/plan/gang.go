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
	for _, candidates := range racks(p.workers, g.Step) {
		if placed := p.gangOn(candidates, g); placed != nil {
			return placed
		}
	}
	return nil
}

func (p *Planner) gangOn(workers []*Worker, g *Group) []Placement {
	run := g.Job.NextGangRun(g.Time, g.StepIndex)
	var placed []Placement
	var taken []*Worker
	offers := p.offers(workers, g)
	for _, i := range g.Indexes {
		w := offers.best()
		if w == nil {
			for _, t := range taken {
				p.giveBack(t, g)
			}
			return nil
		}
		taken = append(taken, w)
		placed = append(placed, p.take(w, g, i, run))
		offers.renew(w)
	}
	return placed
}

// racks returns the sets of workers to try for a gang: each rack by itself where that matters, then all.
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

// rack returns the label that names the rack, which comes after the kind.
func (w *Worker) rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[1]
}
