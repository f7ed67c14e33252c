package pressure

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// A filter estimates for each serving image the interference weight of each best-effort image, which is the loss of
// headroom if that image uses a whole worker, together with the loads of the serving tasks.
//
// Alternatives measured on recorded quiet days: the logarithm of tail latency over target against use explains half as
// much, the square root of use less, and changes of that logarithm within half a second give weights a third too low,
// since measurements lag. Because of this lag the mean use of two measurements is taken, which explains 0.03 to 0.1
// more than the latest alone.
const (
	// PriorWeight and priorVariance are the weight and variance of an unknown pair: on recorded days two of three
	// pairs are near 1 and the others near 10.
	PriorWeight   = 2.5
	priorVariance = 12.0
	// interferenceNoise is the part of a measurement's variance that grows with the square of the loss by
	// interference, which changes within seconds.
	interferenceNoise = 0.06
	// minMedianTasks is the number of tasks from which the median is unaffected by a latency spike of a single task;
	// outlierDeviations is by how many standard deviations a smaller sample must be too low to count as such a spike.
	minMedianTasks    = 3
	outlierDeviations = 3.0
	// weightDrift is added with each sample to the variance of each weight in use, since the interference of images
	// changes.
	weightDrift = 0.02
	// maxImages bounds the best-effort images with a column of their own; further ones share the last column.
	maxImages = 64
	// maxServing bounds the serving images with a filter of their own, up to about 32 KB each; further ones share one
	// filter.
	maxServing = 128
)

// Model holds the estimates for all pairs of images; it is safe for concurrent use.
type Model struct {
	mu        sync.Mutex
	columns   map[string]int
	filters   map[string]*filter
	frequency *frequencyEstimator
}

// NewModel returns a model without measurements.
func NewModel() *Model {
	return &Model{columns: make(map[string]int), filters: make(map[string]*filter), frequency: newFrequencyEstimator()}
}

// column returns the column of a best-effort image.
func (m *Model) column(image string) int {
	c, known := m.columns[image]
	switch {
	case known:
		return c
	case len(m.columns) >= maxImages:
		return maxImages - 1
	}
	c = len(m.columns)
	m.columns[image] = c
	return c
}

// filter returns the filter of a serving image.
func (m *Model) filter(serving string) *filter { return entryOf(m.filters, serving, newFilter) }

// Sample is the measured headrooms of the tasks on one worker that share a load.
type Sample struct {
	// Image is the image of the tasks, Load the name of their load.
	Image string
	Load  string
	// Headrooms are computed from tail latencies in whole milliseconds and the target in milliseconds.
	Headrooms    []float64
	TargetMillis float64
}

// Observe updates the model with a sample and the shares of the worker that each best-effort image used, and returns
// the headroom now expected there.
func (m *Model) Observe(now time.Time, s Sample, use map[string]float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.filter(s.Image)
	l := f.load(s.Load, now, m.frequency.estimate())
	if l == nil {
		return UnknownHeadroom
	}
	weights := f.coefficients(m.shares(use))
	loss := f.loss(weights)
	measured := upperMedian(s.Headrooms)
	if loss == 0 {
		m.frequency.observe(s.Image, &l.recent, now, measured)
	}
	headroom := l.slot + headroomSlot
	innovation := measured - max(f.mean[headroom]-loss, 0)
	if measured >= saturatedHeadroom || innovation < 0 {
		coefficients := append(slices.Clone(weights), coefficient{slot: headroom, factor: 1})
		predictedVariance := f.sumVariance(coefficients)
		f.correct(coefficients, innovation, predictedVariance+sampleVariance(s, measured, loss, innovation, predictedVariance))
		f.mean[headroom] = min(max(f.mean[headroom], 0), MaxHeadroom)
		f.addDrift(weights)
	}
	return max(f.mean[headroom]-f.loss(weights), 0)
}

// upperMedian returns the upper median of the headrooms, since a latency spike of a single task can only lower its
// headroom.
func upperMedian(headrooms []float64) float64 {
	return slices.Sorted(slices.Values(headrooms))[len(headrooms)/2]
}

// sampleVariance returns the variance of a sample with an innovation, for the variance of its prediction. A small
// sample that is far too low may come from a latency spike of a single task and gets little weight.
func sampleVariance(s Sample, measured, loss, innovation, predictedVariance float64) float64 {
	count := float64(len(s.Headrooms))
	noise := MeasurementVariance(measured, s.TargetMillis)/count + interferenceNoise*loss*loss
	if len(s.Headrooms) >= minMedianTasks {
		return noise
	}
	noise += taskDeviation * taskDeviation / count
	if innovation < -outlierDeviations*math.Sqrt(predictedVariance+noise) {
		noise += innovation * innovation
	}
	return noise
}

// findLoad returns a load with a recent measurement and its filter; the load is nil if there is none.
func (m *Model) findLoad(serving, name string, at time.Time) (*filter, *load) {
	f := m.filter(serving)
	l := f.loads[name]
	if l == nil || l.expired(at) {
		return f, nil
	}
	return f, l
}

// Load returns a load at a time, and false if it is unknown.
func (m *Model) Load(serving, name string, now time.Time) (Load, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, l := m.findLoad(serving, name, now)
	if l == nil {
		return Load{}, false
	}
	slots, variance := f.predict(l, now, m.frequency.estimate())
	return Load{
		Headroom: slots[headroomSlot], Slope: slots[slopeSlot], Mean: slots[meanSlot],
		Deviation: math.Sqrt(variance + residualDeviation*residualDeviation), Time: now,
	}, true
}

// Predict returns the expected headroom without neighbors of a task with the load at a time, and its standard
// deviation.
func (m *Model) Predict(serving, name string, at time.Time) (float64, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, l := m.findLoad(serving, name, at)
	if l == nil {
		return UnknownHeadroom, UnknownDeviation
	}
	slots, variance := f.predict(l, at, m.frequency.estimate())
	return min(max(slots[headroomSlot], 0), MaxHeadroom), min(math.Sqrt(variance+taskDeviation*taskDeviation), UnknownDeviation)
}

// LoadFrequency returns the frequency of the load variation of serving tasks, in radians a second.
func (m *Model) LoadFrequency() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.frequency.estimate()
}

// shares returns the shares by columns.
func (m *Model) shares(use map[string]float64) map[int]float64 {
	shares := make(map[int]float64, len(use))
	for _, image := range slices.Sorted(maps.Keys(use)) {
		shares[m.column(image)] += use[image]
	}
	return shares
}

// Weight returns the loss of headroom that a best-effort image causes to a serving one if it uses the whole worker, at
// least 0, and its standard deviation.
func (m *Model) Weight(serving, bestEffort string) (float64, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	weight, variance := m.filter(serving).weight(m.column(bestEffort))
	return weight, math.Sqrt(variance)
}
