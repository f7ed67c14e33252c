package pacing

import "time"

// Limits of the pace, in percent of a task's full speed, and shares of the target at which it changes.
const (
	// Full and Least bound the pace; at Least a task hardly disturbs and still keeps its memory.
	Full  = 100
	Least = 0
	// cutFrom is the share of the target from which the pace is cut, raiseTo that below which it rises again; between
	// them lies the noise of a half-second figure.
	cutFrom = 0.85
	raiseTo = 0.65
	// cut is what is left of the pace over the target, ease what is left near it, raise the step up.
	cut   = 0.4
	ease  = 0.75
	raise = 15
)

// Served is what a serving task showed over the last half second.
type Served struct {
	Tail   time.Duration
	Target time.Duration
}

// Controller holds the pace of all that fills one worker.
type Controller struct{ pace float64 }

// New returns a controller at full pace.
func New() *Controller { return &Controller{pace: Full} }

// Pace returns the pace in percent.
func (c *Controller) Pace() int { return int(c.pace) }

// Worst returns the highest share that a serving task has of its target.
func Worst(served []Served) float64 {
	var worst float64
	for _, s := range served {
		if s.Target > 0 {
			worst = max(worst, float64(s.Tail)/float64(s.Target))
		}
	}
	return worst
}

// Observe takes the newest figures into account and returns the pace in percent.
func (c *Controller) Observe(served []Served) int {
	worst := Worst(served)
	switch {
	case worst >= 1:
		c.pace *= cut
	case worst >= cutFrom:
		c.pace *= ease
	case worst < raiseTo:
		c.pace += raise
	}
	const noPoint = 5
	if c.pace < noPoint && worst >= cutFrom {
		c.pace = Least
	}
	c.pace = min(c.pace, Full)
	return c.Pace()
}
