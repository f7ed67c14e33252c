package pressure

import (
	"math"
	"time"
)

// load is what the tasks of one step of a job serve together: their users are shared out evenly, so that the headroom
// that they would have without neighbors swings alike, around a usual value. On recorded days half of the tasks of a job are
// within 0.05 of each other, nine of ten within 0.25 but for those that rise alone.
type load struct {
	// slot is the first of its slots in the filter.
	slot int
	seen time.Time
	// past serves to learn the swing.
	past past
}

// old reports whether nothing of the load's last figure is left at a time.
func (l *load) old(at time.Time) bool { return at.Sub(l.seen).Seconds() > mostGap }

// Load is the headroom that the tasks of a step have without neighbors at a time, its slope in headroom a second, its usual
// value, and the standard deviation of a task's.
type Load struct {
	Headroom  float64
	Slope     float64
	Mean      float64
	Deviation float64
	Time      time.Time
}

// Predict returns the headroom at a later time, where loads swing at a speed in radians a second.
func (l Load) Predict(at time.Time, swing float64) float64 {
	gap := max(at.Sub(l.Time).Seconds(), 0)
	moved := motionOf(gap, swing).apply([loadSlots]float64{valueSlot: l.Headroom, slopeSlot: l.Slope, usualSlot: l.Mean})
	return min(max(moved[valueSlot], 0), MaxHeadroom)
}

// The slots of a load.
const (
	valueSlot = iota
	slopeSlot
	usualSlot
	loadSlots
)

const (
	// usualDeviation is the standard deviation of the usual headroom of a load that was not seen, from recorded days.
	usualDeviation = 0.4
	// swingDrift is the variance that the slope of a load gains each second, beside the swing, and usualDrift that of its
	// usual value; the best of four each on recorded days.
	swingDrift = 0.01
	usualDrift = 0.001
	// ownDeviation is by how much a task is off its load, steadyDeviation the same where it is known by how much it was off
	// half a second before.
	ownDeviation    = 0.25
	steadyDeviation = 0.15
	// mostLoads bounds the loads of one image that are followed at once.
	mostLoads = 32
)

// motion leads from the slots of a load to the same some time later.
type motion [loadSlots][loadSlots]float64

// motionOf returns the motion of a swing, in radians a second, over a gap in seconds.
func motionOf(gap, swing float64) motion {
	sin, cos := math.Sincos(swing * gap)
	return motion{
		{cos, sin / swing, 1 - cos},
		{-swing * sin, cos, swing * sin},
		{0, 0, 1},
	}
}

// apply returns the slots after the motion.
func (m motion) apply(slots [loadSlots]float64) []float64 {
	moved := make([]float64, loadSlots)
	for i, row := range m {
		for j, times := range row {
			moved[i] += times * slots[j]
		}
	}
	return moved
}

// noiseOf returns the covariance that the slots of a load gain over a gap in seconds.
func noiseOf(gap float64) [loadSlots][loadSlots]float64 {
	cross := swingDrift * gap * gap / 2
	return [loadSlots][loadSlots]float64{
		{swingDrift * gap * gap * gap / 3, cross, 0},
		{cross, swingDrift * gap, 0},
		{0, 0, usualDrift * gap},
	}
}
