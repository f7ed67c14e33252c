package pacing

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// ViolationGrace is how long a serving task may be over its target before what is known to slow it must give way, and nothing that
// fills may be added beside it. The platform's owners allow some four seconds, and a figure is half a second old.
const ViolationGrace = 1200 * time.Millisecond

const (
	// Full is the highest pace in percent.
	Full = 100
	// Min is the lowest pace; a task does not disturb at it and still keeps its memory.
	Min = 0
	// rounds bounds the search; it ends earlier where no pace changes.
	rounds = 4
	// mustNot is what it is worth that a task which was over for long is not over any more: more than all that fills.
	mustNot = 50.0
)

// choices are the paces that are weighed; the harm grows faster than the work, so that many tasks at a low pace may be better than one.
var choices = []int{Full, 75, 50, 30, 15, Min}

// ServingTask is a task that serves: the headroom that it likely has soon without neighbors, its standard deviation, and by how
// much each filling image lowers it where it uses a whole worker.
type ServingTask struct {
	Headroom  float64
	Deviation float64
	Weights   map[string]float64
	// SustainedViolation says that it has been over its target for so long that what is known to slow it must give way, Longer that all
	// must.
	SustainedViolation bool
	ProlongedViolation bool
}

// BestEffort is an image that fills: the share of the worker that it would use at full pace.
type BestEffort struct {
	Image     string
	FullShare float64
}

// starvedWorth is by how much more the work of batch counts where it is starved altogether.
const starvedWorth = 1.5

// Choose returns the pace of each filling image in percent, such that the work done outweighs the harm to what serves by
// as much as possible; batch that is starved, from 0 to 1, counts more.
func Choose(served []ServingTask, filling []BestEffort, starved float64) map[string]int {
	worth := (1 + starvedWorth*starved) / pressure.ViolationCost
	if slices.ContainsFunc(served, func(s ServingTask) bool { return s.ProlongedViolation }) {
		return stopAll(filling)
	}
	best := climb(served, filling, Full, worth)
	other := climb(served, filling, Min, worth)
	if value(served, filling, other, worth) > value(served, filling, best, worth) {
		best = other
	}
	paces := make(map[string]int, len(filling))
	for i, f := range filling {
		paces[f.Image] = best[i]
	}
	return paces
}

// stopAll returns the lowest pace for each image.
func stopAll(filling []BestEffort) map[string]int {
	paces := make(map[string]int, len(filling))
	for _, f := range filling {
		paces[f.Image] = Min
	}
	return paces
}

// climb changes one pace at a time, from all at one pace, for as long as it helps; worth is that of a worker full of batch.
func climb(served []ServingTask, filling []BestEffort, from int, worth float64) []int {
	paces := make([]int, len(filling))
	for i := range paces {
		paces[i] = from
	}
	highest := value(served, filling, paces, worth)
	for range rounds {
		changed := false
		for i := range paces {
			kept := paces[i]
			for _, choice := range choices {
				paces[i] = choice
				if v := value(served, filling, paces, worth); v > highest {
					highest, kept, changed = v, choice, true
				}
			}
			paces[i] = kept
		}
		if !changed {
			break
		}
	}
	return paces
}

// value weighs the work done at some paces against the tasks that are likely over their targets.
func value(served []ServingTask, filling []BestEffort, paces []int, worth float64) float64 {
	total := 0.0
	for i, f := range filling {
		total += worth * f.at(paces[i])
	}
	for _, s := range served {
		pressed := 0.0
		for i, f := range filling {
			pressed += s.Weights[f.Image] * f.at(paces[i])
		}
		// Only what fills is held against it: what would be over without it as well costs nothing more.
		harm := pressure.ViolationProbability(s.Headroom-pressed, s.Deviation) - pressure.ViolationProbability(s.Headroom, s.Deviation)
		if s.SustainedViolation {
			harm *= mustNot
		}
		total -= harm
	}
	return total
}

// at returns the share of the worker that the image uses at a pace.
func (f BestEffort) at(pace int) float64 { return f.FullShare * float64(pace) / Full }
