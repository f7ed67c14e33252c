package dispatch

import (
	"math"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// backlogTimeConstant is the time constant that smooths the backlog level, so that a short wait hardly raises it.
	backlogTimeConstant = 3 * time.Second
	// minBatchShare is the least share of the workers that best-effort tasks are assumed to use: right after a loss they use
	// none.
	minBatchShare = 0.1
	// backlogStart and backlogFull are the expected completion times of the waiting best-effort tasks, as shares of their
	// objective, at which the level starts to rise and at which it reaches 1.
	backlogStart = 0.7
	backlogFull  = 1.3
	// backlogResolution is the number of steps from 0 to 1 to which the level is rounded for agents.
	backlogResolution = 10
)

// batchBacklog estimates how long the waiting best-effort tasks take at their current rate, relative to the objectives of
// their jobs. In a burst on the users' deployments the ratio is below 1. Where most best-effort images interfere with most
// serving ones it is 2 to 4, and almost no best-effort task would be done in time.
type batchBacklog struct {
	level     float64
	updatedAt time.Time
}

// update adjusts the level to the waiting tasks, the CPU that best-effort tasks use, and the capacity of the workers; the
// last two are in thousandths of a core.
func (b *batchBacklog) update(now time.Time, groups []*plan.Group, used, capacity int) {
	var work, objective float64
	for _, g := range groups {
		if g.Step.BestEffort {
			seconds := float64(len(g.Indexes)) * float64(g.Step.Size.CPU) / millisPerCore * g.RunTime.Seconds()
			work += seconds
			objective += seconds * g.Objective.Seconds()
		}
	}
	target := 0.0
	if work > 0 && capacity > 0 {
		rate := max(float64(used), minBatchShare*float64(capacity)) / millisPerCore
		target = min(max((work/rate/(objective/work)-backlogStart)/(backlogFull-backlogStart), 0), 1)
	}
	if !b.updatedAt.IsZero() {
		b.level += (target - b.level) * -math.Expm1(-float64(now.Sub(b.updatedAt))/float64(backlogTimeConstant))
	}
	b.updatedAt = now
}
