package pressure

import (
	"math"
	"time"
)

// Residual tracks the offset of a task's headroom from that explained by its load and its neighbors. The zero Residual
// has an offset of 0.
type Residual struct {
	offset     float64
	observedAt time.Time
}

// residualDecaySeconds is the time after which a third of the offset is left, since a latency spike of a single task lasts
// about two seconds.
const residualDecaySeconds = 1.4

// Observe records the offset.
func (r *Residual) Observe(now time.Time, offset float64) { r.offset, r.observedAt = offset, now }

// Predict returns the expected offset at a time.
func (r *Residual) Predict(at time.Time) float64 {
	if r.observedAt.IsZero() {
		return 0
	}
	return r.offset * math.Exp(-max(at.Sub(r.observedAt).Seconds(), 0)/residualDecaySeconds)
}
