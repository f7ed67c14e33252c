package pressure

import (
	"math"
	"time"
)

// load is the state of the users' load that the tasks of one step of a job share. It is spread evenly, so the headroom
// of the tasks without neighbors varies alike, around a mean. On recorded days the headrooms of half of the tasks of a
// job are within 0.05 of each other, and of nine in ten within 0.25, apart from tasks with a latency spike of their own.
type load struct {
	// slot is the index of the load's first slot in the filter.
	slot      int
	updatedAt time.Time
	// recent holds the samples from which the load frequency is estimated.
	recent recentSamples
}

// expired reports whether the last measurement of the load is too old to be of use.
func (l *load) expired(at time.Time) bool { return at.Sub(l.updatedAt).Seconds() > maxGap }

// Load is the headroom without neighbors that the tasks of a step have at Time, its slope in headroom a second, its
// mean over time, and the standard deviation of a single task's headroom.
type Load struct {
	Headroom  float64
	Slope     float64
	Mean      float64
	Deviation float64
	Time      time.Time
}

// Predict returns the headroom at a later time, for a load frequency in radians a second.
func (l Load) Predict(at time.Time, frequency float64) float64 {
	gap := max(at.Sub(l.Time).Seconds(), 0)
	result := transitionOver(gap, frequency).apply([loadSlots]float64{headroomSlot: l.Headroom, slopeSlot: l.Slope, meanSlot: l.Mean})
	return min(max(result[headroomSlot], 0), MaxHeadroom)
}

// The slots of a load.
const (
	headroomSlot = iota
	slopeSlot
	meanSlot
	loadSlots
)

const (
	// loadMeanDeviation is the standard deviation of the mean headroom of a load without measurements, from recorded
	// days.
	loadMeanDeviation = 0.4
	// loadSlopeDrift is the variance that the slope of a load gains each second beyond the periodic variation, and
	// loadMeanDrift that of its mean; the best of four values each on recorded days.
	loadSlopeDrift = 0.01
	loadMeanDrift  = 0.001
	// taskDeviation is the standard deviation of a task's headroom from that of its load, residualDeviation the same
	// if the task's deviation half a second before is known.
	taskDeviation     = 0.25
	residualDeviation = 0.15
	// maxLoads bounds the number of tracked loads of one image.
	maxLoads = 32
)

// transition is the matrix that advances the slots of a load by a time.
type transition [loadSlots][loadSlots]float64

// transitionOver returns the transition of a periodic load, with a frequency in radians a second, over a gap in
// seconds.
func transitionOver(gap, frequency float64) transition {
	sin, cos := math.Sincos(frequency * gap)
	return transition{
		{cos, sin / frequency, 1 - cos},
		{-frequency * sin, cos, frequency * sin},
		{0, 0, 1},
	}
}

// apply returns the slots after the transition.
func (m transition) apply(slots [loadSlots]float64) []float64 {
	result := make([]float64, loadSlots)
	for i, row := range m {
		for j, coefficient := range row {
			result[i] += coefficient * slots[j]
		}
	}
	return result
}

// processNoise returns the covariance that the slots of a load gain over a gap in seconds.
func processNoise(gap float64) [loadSlots][loadSlots]float64 {
	cross := loadSlopeDrift * gap * gap / 2
	return [loadSlots][loadSlots]float64{
		{loadSlopeDrift * gap * gap * gap / 3, cross, 0},
		{cross, loadSlopeDrift * gap, 0},
		{0, 0, loadMeanDrift * gap},
	}
}
