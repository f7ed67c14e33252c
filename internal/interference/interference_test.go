package interference

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

// observe records a number of reports of a run time beside neighbors.
func observe(m *Model, reports int, runtime time.Duration, neighbors ...Neighbor) {
	for range reports {
		m.Observe("lookups", 1, neighbors, runtime, 100, start)
	}
}

func TestSlowdownIsLearnedAndDivided(t *testing.T) {
	m := New()
	mailing, sync := NewNeighbor("mailing", 0.4), NewNeighbor("sync", 0.4)
	observe(m, 20, 10*time.Millisecond)
	observe(m, 100, 10*time.Millisecond, sync)
	observe(m, 100, 14*time.Millisecond, mailing, sync)
	assert.Assert(t, m.MeanSlowdown("lookups", "mailing", 1, start) > 0.7)
	assert.Assert(t, m.MeanSlowdown("lookups", "sync", 1, start) < 0.3)
	assert.Assert(t, m.SlowdownBound("lookups", "mailing", 1, 0.4, start) > m.MeanSlowdown("lookups", "mailing", 1, start)*0.4)
}

// TestPauseHasBoundedEffect guards against an outlier from a frozen VM: the model derived a slowdown of lookups by a
// factor of a thousand, and no batch task was placed any more.
func TestPauseHasBoundedEffect(t *testing.T) {
	m := New()
	mailing := NewNeighbor("mailing", 0.4)
	observe(m, 20, 10*time.Millisecond)
	observe(m, 2, 3*time.Second, mailing)
	assert.Assert(t, m.MeanSlowdown("lookups", "mailing", 1, start) < 5)
	observe(m, 50, 10*time.Millisecond, mailing)
	assert.Assert(t, m.MeanSlowdown("lookups", "mailing", 1, start) < 0.3)
}

func TestUnobservedEstimateDecays(t *testing.T) {
	m := New()
	observe(m, 20, 10*time.Millisecond)
	observe(m, 50, 25*time.Millisecond, NewNeighbor("mailing", 0.4))
	high := m.MeanSlowdown("lookups", "mailing", 1, start)
	later := m.MeanSlowdown("lookups", "mailing", 1, start.Add(4*halfLife))
	assert.Assert(t, high > 2 && later < 0.5, "%f, then %f", high, later)
}
