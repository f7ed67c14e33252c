package reserve

import (
	"math"
	"time"
)

const (
	// timeConstant is the time constant of the mean: long enough that the reserve outlasts the gaps between short tasks, and
	// short enough that a new leader learns it within seconds.
	timeConstant = 10 * time.Second
	// limitDivisor is the divisor of the open capacity that gives the limit, 10 %: long-running tasks keep most of the
	// capacity, however much short work waits.
	limitDivisor = 10
)

// Reserve is the capacity to keep free for the short work of one service; the zero value keeps none free.
type Reserve struct {
	// mean is the exponential mean of the CPU that short work uses or waits for, limit the most that is kept free, both in
	// thousandths of a core.
	mean       float64
	limit      int
	observedAt time.Time
}

// Observe records the CPU that short work uses and that its waiting tasks request, and the capacity of the service's open
// workers, all in thousandths of a core.
func (r *Reserve) Observe(now time.Time, used, waiting, open int) {
	if !r.observedAt.IsZero() {
		elapsed := max(now.Sub(r.observedAt), 0)
		weight := -math.Expm1(-float64(elapsed) / float64(timeConstant))
		r.mean += (float64(max(used+waiting, 0)) - r.mean) * weight
	}
	r.observedAt, r.limit = now, max(open, 0)/limitDivisor
}

// Amount returns the CPU to keep free, in thousandths of a core.
func (r *Reserve) Amount() int { return min(int(math.Round(r.mean)), r.limit) }
