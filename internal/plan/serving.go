package plan

import (
	"math"

	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// PressureModel provides the learned interference between images.
type PressureModel interface {
	// Weight returns the loss of headroom that a best-effort image causes to a serving image if it uses a whole
	// worker, and its standard deviation.
	Weight(serving, bestEffort string) (weight, deviation float64)
	// Conflict returns how much the interference on two serving images differs, from 0 to 1.
	Conflict(a, b string) float64
}

// ServingTask is a task with a latency target.
type ServingTask struct {
	Image string
	// Headroom is the expected headroom (see package pressure) without best-effort neighbors, Deviation its standard
	// deviation.
	Headroom  float64
	Deviation float64
	// loss is the headroom lost to best-effort neighbors, lossVariance its variance.
	loss         float64
	lossVariance float64
	// violation is the probability that the task violates its target under the current plan; it is valid while cached
	// is set.
	violation float64
	cached    bool
}

// addInterference adds the interference of a best-effort image that uses share of the worker; a negative share removes
// it.
func (s *ServingTask) addInterference(weight, deviation, share float64) {
	s.cached = false
	s.loss += weight * share
	s.lossVariance = max(s.lossVariance+deviation*deviation*share*math.Abs(share), 0)
}

// violationProbability returns the probability that the task violates its target under the current plan.
func (s *ServingTask) violationProbability() float64 {
	if !s.cached {
		s.violation, s.cached = s.violationProbabilityWith(0, 0), true
	}
	return s.violation
}

// violationProbabilityWith returns the probability that the task violates its target with an additional loss of
// headroom.
func (s *ServingTask) violationProbabilityWith(loss, lossVariance float64) float64 {
	deviation := math.Sqrt(s.Deviation*s.Deviation + s.lossVariance + lossVariance)
	return pressure.ViolationProbability(s.Headroom-s.loss-loss, deviation)
}
