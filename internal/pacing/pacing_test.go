package pacing

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

func filling(image string, use float64) BestEffort { return BestEffort{Image: image, FullShare: use} }

// pressedBy returns a task that serves and that an image slows by a weight.
func pressedBy(image string, weight float64) ServingTask {
	return ServingTask{Headroom: 1.5, Deviation: 0.2, Weights: map[string]float64{image: weight}}
}

func TestHarmlessRunsFullAndHarmfulGivesWay(t *testing.T) {
	served := []ServingTask{pressedBy("mail", 6), pressedBy("mail", 6)}
	paces := Choose(served, []BestEffort{filling("mail", 0.2), filling("scan", 0.2)}, 0)
	assert.Equal(t, paces["scan"], Full)
	assert.Assert(t, paces["mail"] < Full)
}

// TestWorkIsWeighedAgainstOneTaskOverItsTarget plays a neighbor that surely puts a task over its target at any pace that is of use:
// it gives way unless more than pressure.WorthOfOver of the worker is done by it.
func TestWorkIsWeighedAgainstOneTaskOverItsTarget(t *testing.T) {
	served := []ServingTask{pressedBy("mail", 90)}
	less, more := 0.8*pressure.ViolationCost, 1.2*pressure.ViolationCost
	assert.Equal(t, Choose(served, []BestEffort{filling("mail", less)}, 0)["mail"], Min)
	assert.Equal(t, Choose(served, []BestEffort{filling("mail", more)}, 0)["mail"], Full)
}

func TestNothingToServeRunsFull(t *testing.T) {
	assert.Equal(t, Choose(nil, []BestEffort{filling("mail", 0.9)}, 0)["mail"], Full)
}

func TestWhatIsOverForLongMakesItsNeighborsStop(t *testing.T) {
	fills := []BestEffort{filling("mail", 0.5), filling("scan", 0.1)}
	long := ServingTask{Headroom: 1.5, Deviation: 0.2, Weights: map[string]float64{"mail": 2}, SustainedViolation: true}
	paces := Choose([]ServingTask{long}, fills, 0)
	assert.Assert(t, paces["mail"] <= 15)
	assert.Equal(t, paces["scan"], Full)
	long.ProlongedViolation = true
	paces = Choose([]ServingTask{long}, fills, 0)
	assert.Equal(t, paces["mail"], Min)
	assert.Equal(t, paces["scan"], Min)
}
