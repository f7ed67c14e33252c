package estimate

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minTime and maxTime bound estimates, run times and predictions, so that a single odd value cannot dominate a regression: estimates
	// are in whole milliseconds, and no finite task of the users runs for a month.
	minTime = time.Millisecond
	maxTime = 30 * 24 * time.Hour
	// maxQueues bounds the queues with a regression of their own, some 100 bytes each in the store; the estimates of others are trusted.
	maxQueues = 64
)

// Model predicts the run times of tasks by the queues of their jobs. It is not safe for concurrent use.
type Model struct {
	queues map[string]*regression
}

// NewModel returns a model without evidence, which trusts all estimates.
func NewModel() *Model { return &Model{queues: make(map[string]*regression)} }

// Observe records the run time of a task that is the first one of its step to end.
func (m *Model) Observe(queue string, estimate, took time.Duration) {
	m.ObserveStep(queue, &Step{}, estimate, took)
}

// ObserveStep records the run time of a task, and adds it to the evidence of its step. An estimate that is not positive is unknown; a
// run time that is not positive is ignored.
func (m *Model) ObserveStep(queue string, s *Step, estimate, took time.Duration) {
	if took <= 0 {
		return
	}
	r := m.queues[queue]
	if r == nil && len(m.queues) < maxQueues {
		r = &regression{}
		m.queues[queue] = r
	}
	deviation, previous := logSeconds(took)-s.mean, s.ends
	s.Observe(took)
	if r == nil {
		return
	}
	r.observeWithin(deviation, previous)
	if estimate > 0 {
		r.observe(logSeconds(estimate), logSeconds(took), 1/float64(s.ends))
	}
}

// Predict returns the prediction for a task of a queue by its estimate.
func (m *Model) Predict(queue string, estimate time.Duration) Prediction {
	r := m.queues[queue]
	if r == nil {
		r = &regression{}
	}
	l := r.line()
	return Prediction{logMedian: l.at(logSeconds(estimate)), variance: l.variance, within: min(r.withinVariance(), l.variance)}
}

// Summary describes what was learned about a queue.
type Summary struct {
	Queue string
	// Ends is the number of observed ends, including those of earlier leaders.
	Ends int
	// Slope is that of the logarithm of the run time over the logarithm of the estimate, from 0 to 1.
	Slope float64
	// Factor is the typical run time divided by the estimate, for a typical estimate.
	Factor float64
	// Deviation is the standard deviation of the logarithm of the run time from its prediction.
	Deviation float64
}

// Summaries returns what was learned about each queue, sorted by queue.
func (m *Model) Summaries() []Summary {
	summaries := make([]Summary, 0, len(m.queues))
	for _, queue := range slices.Sorted(maps.Keys(m.queues)) {
		r := m.queues[queue]
		l := r.line()
		summaries = append(summaries, Summary{
			Queue: queue, Ends: r.ends, Slope: l.slope, Factor: math.Exp(l.offset), Deviation: math.Sqrt(l.variance),
		})
	}
	return summaries
}

// logSeconds returns the logarithm of a time in seconds.
func logSeconds(d time.Duration) float64 { return math.Log(min(max(d, minTime), maxTime).Seconds()) }

// fromLogSeconds returns the time whose logarithm in seconds is given, in whole microseconds: the rounding error of the logarithm is
// smaller, so an estimate in milliseconds that is trusted is returned unchanged.
func fromLogSeconds(l float64) time.Duration {
	seconds := min(max(math.Exp(l), minTime.Seconds()), maxTime.Seconds())
	return time.Duration(math.Round(seconds*1e6)) * time.Microsecond
}
