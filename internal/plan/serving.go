package plan

import (
	"math"

	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// PressureModel tells what was learned of the images.
type PressureModel interface {
	// Weight tells by how much a filling image lowers the headroom of a serving one where it uses a whole worker.
	Weight(serving, filling string) (weight, deviation float64)
	// Conflict tells how differently two serving images suffer from what fills, from 0 to 1.
	Conflict(a, b string) float64
}

// ServingTask is a task that serves users under a latency target.
type ServingTask struct {
	Image string
	// Headroom is its target over its tail, as package pressure has it, that is likely soon without what fills beside it,
	// and Deviation the standard deviation of that.
	Headroom  float64
	Deviation float64
	// pressed is by how much what fills lowers the headroom, doubt the variance of that.
	pressed float64
	doubt   float64
	// over is how likely it is over its target as the plan stands; known says that this is up to date.
	over  float64
	known bool
}

// press counts a share of the worker that a filling image of some weight gains, or loses where the share is negative.
func (s *ServingTask) press(weight, deviation, share float64) {
	s.known = false
	s.pressed += weight * share
	s.doubt = max(s.doubt+deviation*deviation*share*math.Abs(share), 0)
}

// chanceNow returns how likely the task is over its target as the plan stands.
func (s *ServingTask) chanceNow() float64 {
	if !s.known {
		s.over, s.known = s.chance(0, 0), true
	}
	return s.over
}

// chance returns how likely the task is over its target with some more pressure and doubt.
func (s *ServingTask) chance(pressed, doubt float64) float64 {
	deviation := math.Sqrt(s.Deviation*s.Deviation + s.doubt + doubt)
	return pressure.ViolationProbability(s.Headroom-s.pressed-pressed, deviation)
}
