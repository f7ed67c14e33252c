package pressure

import (
	"math"
	"sync"
	"time"
)

// A filter estimates for each serving image by how much each filling image lowers its headroom where that image uses a
// whole worker; together with the tracks of the tasks it is one Kalman filter, whose covariances between tasks are left out.
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
	// seconds; alikeNoise is by how much less the second task of an image tells, whose neighbors are the same.
	pressedNoise = 0.04
	alikeNoise   = 0.25
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

// filter returns the filter of a serving image, with a column for each filling image.
func (m *Model) filter(serving string) *filter {
	f := entryOf(m.filters, serving)
	f.grow(min(len(m.columns), mostImages))
	return f
}

// Sample is the headroom of a serving task as a figure shows it.
type Sample struct {
	// Image is that of the task, Task its track.
	Image string
	Task  *Track
	// Headroom has a variance by the figure's own blur.
	Headroom float64
	Variance float64
	// Alike is how many tasks of the image show a figure beside the same neighbors.
	Alike int
}

// Observe takes a sample, beside the shares of the worker that each filling image used.
func (m *Model) Observe(now time.Time, s Sample, use map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, x := m.shares(s.Image, use)
	s.Task.Follow(m.swing.speed())
	s.Task.advance(now)
	pressed, doubt := f.pressed(x)
	if pressed == 0 {
		m.swing.observe(s.Image, s.Task, now, s.Headroom)
	}
	off := s.Headroom - max(s.Task.value-pressed, 0)
	if s.Headroom < saturated && off >= 0 {
		return
	}
	whole := s.Task.spread[0][0] + doubt + s.Variance + pressedNoise*pressed*pressed
	f.correct(x, off, whole*(1+alikeNoise*float64(s.Alike-1)))
	s.Task.correct(off, whole)
}

// Swing returns how fast the loads of serving tasks swing, in radians a second.
func (m *Model) Swing() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.swing.speed()
}

// shares returns the filter of a serving image and the shares by its columns.
func (m *Model) shares(serving string, use map[string]float64) (*filter, []float64) {
	columns := make(map[int]float64, len(use))
	for image, share := range use {
		columns[m.column(image)] += share
	}
	f := m.filter(serving)
	x := make([]float64, len(f.mean))
	for c, share := range columns {
		x[c] = share
	}
	return f, x
}

// Weight returns by how much a filling image lowers the headroom of a serving one where it uses the whole worker,
// at least 0, and the standard deviation of that belief.
func (m *Model) Weight(serving, filling string) (float64, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.column(filling)
	f := m.filter(serving)
	return max(f.mean[c], 0), math.Sqrt(max(f.variance[c][c], 0))
}
