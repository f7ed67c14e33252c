package pressure

import (
	"math"
	"time"
)

// Residual follows by how much the headroom of a task is off what its load and its neighbors explain. The zero Residual is off by
// nothing.
type Residual struct {
	off  float64
	seen time.Time
}

// ownAfter is the time in seconds after which a third is left of what a task is off, since a task that rises alone does so
// for some two seconds.
const ownAfter = 1.4

// Observe takes by how much the task is off.
func (o *Residual) Observe(now time.Time, off float64) { o.off, o.seen = off, now }

// Predict returns by how much the task is likely off at a time.
func (o *Residual) Predict(at time.Time) float64 {
	if o.seen.IsZero() {
		return 0
	}
	return o.off * math.Exp(-max(at.Sub(o.seen).Seconds(), 0)/ownAfter)
}
