package pacing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func filling(image string, use float64) Filling { return Filling{Image: image, Whole: use} }

func TestHarmlessRunsFullAndHarmfulGivesWay(t *testing.T) {
	served := []Served{{Headroom: 1.5, Deviation: 0.2, Weights: map[string]float64{"mail": 6}}}
	paces := Reckon(served, []Filling{filling("mail", 0.2), filling("scan", 0.2)}, 0)
	assert.Equal(t, paces["scan"], Full)
	assert.Assert(t, paces["mail"] < Full)
}

func TestNothingToServeRunsFull(t *testing.T) {
	assert.Equal(t, Reckon(nil, []Filling{filling("mail", 0.9)}, 0)["mail"], Full)
}

func TestWhatIsOverForLongMakesItsNeighborsStop(t *testing.T) {
	fills := []Filling{filling("mail", 0.5), filling("scan", 0.1)}
	long := Served{Headroom: 1.5, Deviation: 0.2, Weights: map[string]float64{"mail": 2}, Long: true}
	paces := Reckon([]Served{long}, fills, 0)
	assert.Assert(t, paces["mail"] <= 15)
	assert.Equal(t, paces["scan"], Full)
	long.Longer = true
	paces = Reckon([]Served{long}, fills, 0)
	assert.Equal(t, paces["mail"], Least)
	assert.Equal(t, paces["scan"], Least)
}
