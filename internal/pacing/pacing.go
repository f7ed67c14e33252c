package pacing

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// ViolationGrace is how long a serving task may violate its target before images that are known to slow it are
// throttled and no best-effort task may be added beside it. The owners of the platform allow about four seconds, and a
// measurement is half a second old.
const ViolationGrace = 1200 * time.Millisecond

const (
	// Full is the highest pace in percent.
	Full = 100
	// Min is the lowest pace, at which a task does not interfere but keeps its memory.
	Min = 0
	// maxRounds bounds the search, which ends earlier if no pace changes.
	maxRounds = 4
	// sustainedFactor multiplies the cost of a sustained violation so that it exceeds the value of all best-effort
	// work.
	sustainedFactor = 50.0
)

// paceChoices are the paces to choose from. Interference grows faster than the work done, so many tasks at a low pace
// may be better than one at full pace.
var paceChoices = []int{Full, 75, 50, 30, 15, Min}

// ServingTask is a serving task with its expected headroom without neighbors, the standard deviation, and the
// interference weights of the best-effort images.
type ServingTask struct {
	Headroom  float64
	Deviation float64
	Weights   map[string]float64
	// SustainedViolation is set if the task has violated its target for so long that the images known to slow it must
	// be throttled, ProlongedViolation if all must be.
	SustainedViolation bool
	ProlongedViolation bool
}

// BestEffort is a best-effort image with the share of the worker that it would use at full pace.
type BestEffort struct {
	Image     string
	FullShare float64
}

// backlogValue is the relative increase of the value of best-effort work at a full batch backlog.
const backlogValue = 1.5

// Choose returns the pace of each best-effort image in percent that maximizes the value of the work done minus the
// cost of target violations; the value rises with the batch backlog, from 0 to 1.
func Choose(serving []ServingTask, bestEffort []BestEffort, backlog float64) map[string]int {
	fullValue := (1 + backlogValue*backlog) / pressure.ViolationCost
	if slices.ContainsFunc(serving, func(s ServingTask) bool { return s.ProlongedViolation }) {
		return stopAll(bestEffort)
	}
	best := hillClimb(serving, bestEffort, Full, fullValue)
	other := hillClimb(serving, bestEffort, Min, fullValue)
	if value(serving, bestEffort, other, fullValue) > value(serving, bestEffort, best, fullValue) {
		best = other
	}
	paces := make(map[string]int, len(bestEffort))
	for i, b := range bestEffort {
		paces[b.Image] = best[i]
	}
	return paces
}

// stopAll returns the lowest pace for each image.
func stopAll(bestEffort []BestEffort) map[string]int {
	paces := make(map[string]int, len(bestEffort))
	for _, b := range bestEffort {
		paces[b.Image] = Min
	}
	return paces
}

// hillClimb starts with all images at one pace and changes one pace at a time while the value rises; fullValue is the
// value of a worker full of best-effort work.
func hillClimb(serving []ServingTask, bestEffort []BestEffort, start int, fullValue float64) []int {
	paces := make([]int, len(bestEffort))
	for i := range paces {
		paces[i] = start
	}
	best := value(serving, bestEffort, paces, fullValue)
	for range maxRounds {
		changed := false
		for i := range paces {
			chosen := paces[i]
			for _, choice := range paceChoices {
				paces[i] = choice
				if v := value(serving, bestEffort, paces, fullValue); v > best {
					best, chosen, changed = v, choice, true
				}
			}
			paces[i] = chosen
		}
		if !changed {
			break
		}
	}
	return paces
}

// value returns the value of the work done at the paces minus the expected target violations.
func value(serving []ServingTask, bestEffort []BestEffort, paces []int, fullValue float64) float64 {
	total := 0.0
	for i, b := range bestEffort {
		total += fullValue * b.shareAt(paces[i])
	}
	for _, s := range serving {
		loss := 0.0
		for i, b := range bestEffort {
			loss += s.Weights[b.Image] * b.shareAt(paces[i])
		}
		// A violation that is expected without best-effort work as well costs nothing.
		violation := pressure.ViolationProbability(s.Headroom-loss, s.Deviation) - pressure.ViolationProbability(s.Headroom, s.Deviation)
		if s.SustainedViolation {
			violation *= sustainedFactor
		}
		total -= violation
	}
	return total
}

// shareAt returns the share of the worker that the image uses at a pace.
func (b BestEffort) shareAt(pace int) float64 { return b.FullShare * float64(pace) / Full }
