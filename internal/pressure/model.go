package pressure

import (
	"math"
	"sync"
)

// The level of a serving task is the natural logarithm of its tail over its target: 0 at the target, -0.7 at half of it.
// A filter estimates for each serving image the level without neighbors and, for each filling image, by how much the level
// rises where that image uses a whole worker.
//
// Weighed on a recorded quiet day: levels against use (explains 0.25 to 0.54 of their variance, by image), the square root
// of use (less), and changes of levels within half a second (0.33 to 0.40, but weights that are a third too low, since
// figures lag behind).
//
// The variances are in squares of levels, from the same day.
const (
	noiseVariance  = 0.25
	baseVariance   = 0.5
	weightVariance = 9.0
	// drift is added to each variance with each sample, since what images do to each other changes within seconds.
	drift = 0.002
	// priorWeight is what is believed of a pair that was never seen: enough to be careful, not to keep it apart.
	priorWeight = 1.0
	// priorBase is the level of a serving task at a usual load.
	priorBase = -0.7
	// lowest and highest bound the levels that are believed; beyond three times the target a tail no longer rises evenly.
	lowest  = -2.5
	highest = 1.1
	// mostImages bounds the filling images that are told apart; later ones share the last column.
	mostImages = 64
)

// Level returns the level of a tail beside its target, both in the same unit.
func Level(tail, target float64) float64 {
	if target <= 0 {
		return lowest
	}
	return min(max(math.Log(max(tail, 0)/target+1e-3), lowest), highest)
}

// Model holds what is believed of all pairs; it is safe for concurrent use.
type Model struct {
	mu      sync.Mutex
	columns map[string]int
	filters map[string]*filter
}

// NewModel returns a model that has seen nothing.
func NewModel() *Model {
	return &Model{columns: make(map[string]int), filters: make(map[string]*filter)}
}

// filter is a Kalman filter over the base level and the weights of a serving image.
type filter struct {
	mean     []float64
	variance [][]float64
}

// grow adds columns up to a number.
func (f *filter) grow(columns int) {
	for len(f.mean) < columns {
		n := len(f.mean)
		mean, variance := priorWeight, weightVariance
		if n == 0 {
			mean, variance = priorBase, baseVariance
		}
		for i := range f.variance {
			f.variance[i] = append(f.variance[i], 0)
		}
		f.mean = append(f.mean, mean)
		f.variance = append(f.variance, make([]float64, n+1))
		f.variance[n][n] = variance
	}
}

// update takes one sample into account.
func (f *filter) update(x []float64, level float64) {
	n := len(f.mean)
	gain := make([]float64, n)
	spread, predicted := noiseVariance, 0.0
	for i := range n {
		f.variance[i][i] += drift
		for j, v := range x {
			gain[i] += f.variance[i][j] * v
		}
	}
	for i, v := range x {
		spread += v * gain[i]
		predicted += v * f.mean[i]
	}
	for i := range n {
		f.mean[i] += gain[i] / spread * (level - predicted)
	}
	for i := range n {
		for j := range n {
			f.variance[i][j] -= gain[i] * gain[j] / spread
		}
	}
}

// column returns the column of a filling image, after the base.
func (m *Model) column(image string) int {
	c, known := m.columns[image]
	if !known {
		c = min(len(m.columns)+1, mostImages)
		m.columns[image] = c
	}
	return c
}

func (m *Model) filter(serving string) *filter {
	f := m.filters[serving]
	if f == nil {
		f = &filter{}
		m.filters[serving] = f
	}
	f.grow(min(len(m.columns), mostImages) + 1)
	return f
}

// Observe takes a sample: the level of a serving task beside what each filling image uses, in shares of the worker.
func (m *Model) Observe(serving string, use map[string]float64, level float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	columns := make(map[int]float64, len(use))
	for image, share := range use {
		columns[m.column(image)] += share
	}
	f := m.filter(serving)
	x := make([]float64, len(f.mean))
	x[0] = 1
	for c, share := range columns {
		x[c] = share
	}
	f.update(x, level)
}

// Weight returns by how much a filling image raises the level of a serving one where it uses the whole worker,
// at least 0, and the standard deviation of that belief.
func (m *Model) Weight(serving, filling string) (float64, float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.column(filling)
	f := m.filter(serving)
	return max(f.mean[c], 0), math.Sqrt(max(f.variance[c][c], 0))
}

// Rise returns by how much the level of a serving image is raised by what fills beside it.
func (m *Model) Rise(serving string, use map[string]float64) float64 {
	rise := 0.0
	for image, share := range use {
		weight, _ := m.Weight(serving, image)
		rise += weight * share
	}
	return rise
}
