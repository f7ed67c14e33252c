package dispatch

import (
	"math"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// backlogTimeConstant is the time over which it is reckoned how starved batch is: what waits for a moment is not.
	backlogTimeConstant = 3 * time.Second
	// minBatchShare is the share of the workers that batch is taken to use at the least: right after a loss it uses none.
	minBatchShare = 0.1
	// backlogStart and starvedAt are how long what waits would take, as shares of the time that it has, from which batch counts
	// as starved and at which it does so altogether.
	backlogStart = 0.7
	backlogFull  = 1.3
	// backlogResolution divides 1 into the steps in which it is told to agents.
	backlogResolution = 10
)

// batchBacklog follows how long the batch that waits would take at the rate at which batch gets done, beside the time that its
// jobs have. In a burst on the users' deployments that is less than they have; where most filling images harm most serving ones
// it is two to four times as much, and batch would get next to nothing done in time.
type batchBacklog struct {
	level     float64
	updatedAt time.Time
}

// update takes into account what waits, how many thousandths of a core batch uses, and how many there are.
func (s *batchBacklog) update(now time.Time, groups []*plan.Group, used, capacity int) {
	var work, objective float64
	for _, g := range groups {
		if g.Step.BestEffort {
			seconds := float64(len(g.Indexes)) * float64(g.Step.Size.CPU) / millisPerCore * g.Step.Estimate.Seconds()
			work += seconds
			objective += seconds * g.Job.Objective().Seconds()
		}
	}
	target := 0.0
	if work > 0 && capacity > 0 {
		rate := max(float64(used), minBatchShare*float64(capacity)) / millisPerCore
		target = min(max((work/rate/(objective/work)-backlogStart)/(backlogFull-backlogStart), 0), 1)
	}
	if !s.updatedAt.IsZero() {
		s.level += (target - s.level) * -math.Expm1(-float64(now.Sub(s.updatedAt))/float64(backlogTimeConstant))
	}
	s.updatedAt = now
}
