package pressure

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// A filter estimates for each serving image by how much each filling image lowers its headroom where that image uses a
// whole worker, together with the loads of its tasks.
//
// Weighed on recorded quiet days: levels (logarithms of the tail over the target) against use, which explain half as
// much, the square root of use (less), and changes of levels within half a second (a third too low, since figures lag
// behind). Use is taken as the mean of two figures for that lag, which explains 0.03 to 0.1 more than the newest alone.
const (
	// PriorWeight and priorVariance are what is believed of a pair that was never seen: on recorded days two of three pairs
	// are near 1 and the others near 10.
	PriorWeight   = 2.5
	priorVariance = 12.0
	// pressedNoise is the part of the variance of a figure that grows with the square of the pressure, which changes within
	// seconds.
	pressedNoise = 0.06
	// enoughTasks is how many tasks have a middle that does not rise alone; rising is how many standard deviations a sample
	// of fewer has to be too low for that to be taken of it.
	enoughTasks = 3
	rising      = 3.0
	// drift is added to the variance of each weight in use with each sample, since what images do to each other changes.
	drift = 0.02
	// mostImages bounds the filling images that are told apart; later ones share the last column.
	mostImages = 64
	// mostServing bounds the serving images that are told apart, some 32 KB each at the most; later ones share one filter.
	mostServing = 128
)

// Model holds what is believed of all pairs; it is safe for concurrent use.
type Model struct {
	mu      sync.Mutex
	columns map[string]int
	filters map[string]*filter
	swing   *swing
}

// NewModel returns a model that has seen nothing.
func NewModel() *Model {
	return &Model{columns: make(map[string]int), filters: make(map[string]*filter), swing: newSwing()}
}

// column returns the column of a filling image.
func (m *Model) column(image string) int {
	c, known := m.columns[image]
	switch {
	case known:
		return c
	case len(m.columns) >= mostImages:
		return mostImages - 1
	}
	c = len(m.columns)
	m.columns[image] = c
	return c
}

// filter returns the filter of a serving image.
func (m *Model) filter(serving string) *filter { return entryOf(m.filters, serving, newFilter) }

// Sample is what the tasks that share one load show on one worker.
type Sample struct {
	// Image is that of the tasks, Load names the load that they share.
	Image string
	Load  string
	// Headrooms come from tails in whole milliseconds, under a target in milliseconds.
	Headrooms    []float64
	TargetMillis float64
}

// Observe takes a sample, beside the shares of the worker that each filling image used, and returns the headroom that is
// now expected there.
func (m *Model) Observe(now time.Time, s Sample, use map[string]float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.filter(s.Image)
	l := f.load(s.Load, now, m.swing.speed())
	if l == nil {
		return UnknownHeadroom
	}
	weights := f.factors(m.shares(use))
	pressed := f.pressed(weights)
	shown := middle(s.Headrooms)
	if pressed == 0 {
		m.swing.observe(s.Image, &l.past, now, shown)
	}
	value := l.slot + valueSlot
	off := shown - max(f.mean[value]-pressed, 0)
	if shown >= saturated || off < 0 {
		factors := append(slices.Clone(weights), factor{slot: value, times: 1})
		known := f.spread(factors)
		f.correct(factors, off, known+noiseOfSample(s, shown, pressed, off, known))
		f.mean[value] = min(max(f.mean[value], 0), MaxHeadroom)
		f.loosen(weights)
	}
	return max(f.mean[value]-f.pressed(weights), 0)
}

// middle returns the upper middle of some headrooms: tasks that rise alone lower theirs only.
func middle(headrooms []float64) float64 {
	return slices.Sorted(slices.Values(headrooms))[len(headrooms)/2]
}

// noiseOfSample returns the variance of a sample that is off what was predicted, whose own variance is known. The middle of
// a few tasks may be one that rises alone; it then tells little.
func noiseOfSample(s Sample, shown, pressed, off, known float64) float64 {
	count := float64(len(s.Headrooms))
	noise := MeasurementVariance(shown, s.TargetMillis)/count + pressedNoise*pressed*pressed
	if len(s.Headrooms) >= enoughTasks {
		return noise
	}
	noise += ownDeviation * ownDeviation / count
	if off < -rising*math.Sqrt(known+noise) {
		noise += off * off
	}
	return noise
}

// followed returns a load that showed a figure not too long before a time, with its filter; nil where there is none.
func (m *Model) followed(serving, name string, at time.Time) (*filter, *load) {
	f := m.filter(serving)
	l := f.loads[name]
	if l == nil || l.old(at) {
		return f, nil
	}
	return f, l
}

// Load returns a load at a time, false where it is not known.
func (m *Model) Load(serving, name string, now time.Time) (Load, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, l := m.followed(serving, name, now)
	if l == nil {
		return Load{}, false
	}
	slots, variance := f.ahead(l, now, m.swing.speed())
	return Load{
		Headroom: slots[valueSlot], Slope: slots[slopeSlot], Mean: slots[usualSlot],
		Deviation: math.Sqrt(variance + steadyDeviation*steadyDeviation), Time: now,
	}, true
}

// Predict returns the headroom that a task of a load likely has at a time without neighbors, and its standard deviation.
func (m *Model) Predict(serving, name string, at time.Time) (float64, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, l := m.followed(serving, name, at)
	if l == nil {
		return UnknownHeadroom, UnknownDeviation
	}
	slots, variance := f.ahead(l, at, m.swing.speed())
	return min(max(slots[valueSlot], 0), MaxHeadroom), min(math.Sqrt(variance+ownDeviation*ownDeviation), UnknownDeviation)
}

// LoadFrequency returns how fast the loads of serving tasks swing, in radians a second.
func (m *Model) LoadFrequency() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.swing.speed()
}

// shares returns the shares by columns.
func (m *Model) shares(use map[string]float64) map[int]float64 {
	shares := make(map[int]float64, len(use))
	for _, image := range slices.Sorted(maps.Keys(use)) {
		shares[m.column(image)] += use[image]
	}
	return shares
}

// Weight returns by how much a filling image lowers the headroom of a serving one where it uses the whole worker,
// at least 0, and the standard deviation of that belief.
func (m *Model) Weight(serving, filling string) (float64, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	weight, variance := m.filter(serving).weight(m.column(filling))
	return weight, math.Sqrt(variance)
}
