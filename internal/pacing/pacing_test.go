package pacing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

func load(image string, use float64) BestEffort { return BestEffort{Image: image, FullShare: use} }

// slowedBy returns a serving task that an image slows with a weight.
func slowedBy(image string, weight float64) ServingTask {
	return ServingTask{Headroom: 1.5, Deviation: 0.2, Weights: map[string]float64{image: weight}}
}

func TestOnlyInterferingImageIsThrottled(t *testing.T) {
	serving := []ServingTask{slowedBy("mail", 6), slowedBy("mail", 6)}
	paces := Choose(serving, []BestEffort{load("mail", 0.2), load("scan", 0.2)}, 0)
	assert.Equal(t, paces["scan"], Full)
	assert.Assert(t, paces["mail"] < Full)
}

// TestWorkIsWeighedAgainstOneViolation has a neighbor that makes a task violate its target at any useful pace: it is
// throttled unless it does more than pressure.ViolationCost of the worker's work.
func TestWorkIsWeighedAgainstOneViolation(t *testing.T) {
	serving := []ServingTask{slowedBy("mail", 90)}
	less, more := 0.8*pressure.ViolationCost, 1.2*pressure.ViolationCost
	assert.Equal(t, Choose(serving, []BestEffort{load("mail", less)}, 0)["mail"], Min)
	assert.Equal(t, Choose(serving, []BestEffort{load("mail", more)}, 0)["mail"], Full)
}

func TestFullPaceWithoutServingTasks(t *testing.T) {
	assert.Equal(t, Choose(nil, []BestEffort{load("mail", 0.9)}, 0)["mail"], Full)
}

func TestLongViolationStopsNeighbors(t *testing.T) {
	neighbors := []BestEffort{load("mail", 0.5), load("scan", 0.1)}
	violating := ServingTask{Headroom: 1.5, Deviation: 0.2, Weights: map[string]float64{"mail": 2}, SustainedViolation: true}
	paces := Choose([]ServingTask{violating}, neighbors, 0)
	assert.Assert(t, paces["mail"] <= 15)
	assert.Equal(t, paces["scan"], Full)
	violating.ProlongedViolation = true
	paces = Choose([]ServingTask{violating}, neighbors, 0)
	assert.Equal(t, paces["mail"], Min)
	assert.Equal(t, paces["scan"], Min)
}
