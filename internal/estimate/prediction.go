package estimate

import (
	"math"
	"time"
)

// minStepVariance is the least variance of the logarithm of a step's mean run time about the prediction for its queue: also where
// estimates have been good, a step may be the first one of a new program.
const minStepVariance = 0.2 * 0.2

// Prediction is the predicted distribution of a task's run time, which is log-normal.
type Prediction struct {
	// logMedian is the logarithm of the median in seconds, variance that of the logarithm, and within the part of it within a step.
	logMedian float64
	variance  float64
	within    float64
}

// Median returns the median run time, which is positive.
func (p Prediction) Median() time.Duration { return fromLogSeconds(p.logMedian) }

// Deviation returns the standard deviation of the logarithm of the run time.
func (p Prediction) Deviation() float64 { return math.Sqrt(p.variance) }

// With returns the prediction for another task of a step with ends, weighted by the variances of both.
func (p Prediction) With(s Step) Prediction {
	if s.ends == 0 {
		return p
	}
	between, mean := max(p.variance-p.within, minStepVariance), p.within/float64(s.ends)
	share := between / (between + mean)
	return Prediction{
		logMedian: p.logMedian + share*(s.mean-p.logMedian),
		variance:  min(p.variance, p.within+share*mean),
		within:    p.within,
	}
}

// Step is the evidence from the ended tasks of one step in one iteration of a job; the zero Step has none.
type Step struct {
	ends int
	// mean is the mean logarithm of the run times in seconds.
	mean float64
}

// Observe adds the run time of a task; one that is not positive is ignored.
func (s *Step) Observe(took time.Duration) {
	if took <= 0 {
		return
	}
	s.ends++
	s.mean += (logSeconds(took) - s.mean) / float64(s.ends)
}
