package pressure

import (
	"math"
	"time"
)

// frequencyEstimator learns the frequency of the load variation of serving tasks from the autocorrelation of their
// headrooms.
type frequencyEstimator struct {
	// product and square sum the products and the squares of the offsets of headrooms from the mean of their image.
	product, square float64
	means           map[string]*mean
}

// recentSamples is a ring buffer of the last headrooms of a load.
type recentSamples struct {
	at     [recentCount]time.Time
	offset [recentCount]float64
	next   int
}

// mean is the mean headroom of a serving image.
type mean struct {
	sum   float64
	count float64
}

const (
	// defaultFrequency is the frequency in radians a second until enough is measured: once in ten seconds.
	defaultFrequency = 0.6
	// minFrequency and maxFrequency bound the estimate: once in a minute, and once in three seconds, beyond which
	// measurements every half second cannot resolve it.
	minFrequency = 0.1
	maxFrequency = 2.0
	// lag is the time between two compared headrooms, near a quarter of a period, where noise biases the result least.
	lag = 2 * time.Second
	// lagTolerance is the permitted difference from lag.
	lagTolerance = 300 * time.Millisecond
	// recentCount covers the lag at two measurements a second.
	recentCount = 8
	// minSquareSum is the sum of squares from which the estimate is used: about a hundred pairs.
	minSquareSum = 40.0
	// minMeanCount is the number of headrooms of an image from which its mean is used.
	minMeanCount = 30
)

func newMean() *mean { return &mean{} }

func newFrequencyEstimator() *frequencyEstimator {
	return &frequencyEstimator{means: make(map[string]*mean)}
}

// observe records a headroom of tasks without best-effort neighbors.
func (e *frequencyEstimator) observe(serving string, p *recentSamples, now time.Time, headroom float64) {
	m := entryOf(e.means, serving, newMean)
	m.sum += headroom
	m.count++
	if m.count < minMeanCount {
		return
	}
	offset := headroom - m.sum/m.count
	for i, at := range p.at {
		if difference := now.Sub(at) - lag; difference.Abs() <= lagTolerance {
			e.product += offset * p.offset[i]
			e.square += (offset*offset + p.offset[i]*p.offset[i]) / 2
			break
		}
	}
	p.at[p.next], p.offset[p.next] = now, offset
	p.next = (p.next + 1) % recentCount
}

// estimate returns the frequency in radians a second.
func (e *frequencyEstimator) estimate() float64 {
	if e.square < minSquareSum {
		return defaultFrequency
	}
	correlation := min(max(e.product/e.square, -1), 1)
	return min(max(math.Acos(correlation)/lag.Seconds(), minFrequency), maxFrequency)
}
