package pressure

import (
	"math"
	"time"
)

// Tracker follows the headroom that a serving task would have without neighbors, which swings with its load around a usual
// value, by a Kalman filter over the headroom and its slope. The zero Tracker has seen nothing.
//
// Weighed on a recorded day: a straight line whose slope fades predicts who is over its target with a mean logarithmic
// loss of 0.154, a swing of the right period with 0.136.
type Tracker struct {
	value, slope float64
	// spread is the covariance of value and slope.
	spread [2][2]float64
	// usual is the mean of the headroom over the last quarter of a minute or so.
	usual float64
	// swing is the angular speed of the swing in radians a second.
	swing float64
	seen  time.Time
}

const (
	// UnknownHeadroom is what a task is taken to have before its first figure, as idle tasks have in the mean on recorded days.
	UnknownHeadroom = 2.5
	// UnknownDeviation is the standard deviation of that, from the same days.
	UnknownDeviation = 0.75
	// slopeDeviation is that of a slope not yet seen, in headroom a second: half of the range within a quarter of ten seconds.
	slopeDeviation = 0.4
	// slopeDrift is the variance that a slope gains each second, beside the swing; the best of four on a recorded day.
	slopeDrift = 0.05
	// usualShare is the weight of a new value in the usual one.
	usualShare = 0.03
	// usualAfter is the time in seconds after which a third is left of what a prediction is off the usual value, since a
	// swing is never as even as it is taken to be; without it the loss is 0.147 in place of 0.137.
	usualAfter = 4.0
	// mostGap is the time without a figure after which nothing of the last one is left, in seconds.
	mostGap = 5.0
)

// HasObservation reports whether the task has shown a figure.
func (t *Tracker) HasObservation() bool { return !t.seen.IsZero() }

// SetFrequency sets the angular speed of the swing, in radians a second.
func (t *Tracker) SetFrequency(swing float64) { t.swing = swing }

// advance brings the estimate to a time.
func (t *Tracker) advance(now time.Time) {
	gap := now.Sub(t.seen).Seconds()
	if !t.HasObservation() || gap > mostGap {
		*t = Tracker{value: UnknownHeadroom, usual: UnknownHeadroom, swing: t.swing, seen: now}
		t.spread[0][0] = UnknownDeviation * UnknownDeviation
		t.spread[1][1] = slopeDeviation * slopeDeviation
		return
	}
	if gap <= 0 {
		return
	}
	swing := t.swing
	if swing <= 0 {
		swing = usualSwing
	}
	// The step of a swing around the usual value: a and b lead to the next value, c and a to the next slope.
	sin, a := math.Sincos(swing * gap)
	b, c := sin/swing, -swing*sin
	off, s := t.value-t.usual, t.spread
	t.value = t.usual + a*off + b*t.slope
	t.slope = c*off + a*t.slope
	t.spread[0][0] = a*a*s[0][0] + 2*a*b*s[0][1] + b*b*s[1][1] + slopeDrift*gap*gap*gap/3
	t.spread[0][1] = a*c*s[0][0] + (a*a+b*c)*s[0][1] + a*b*s[1][1] + slopeDrift*gap*gap/2
	t.spread[1][0] = t.spread[0][1]
	t.spread[1][1] = c*c*s[0][0] + 2*a*c*s[0][1] + a*a*s[1][1] + slopeDrift*gap
	t.seen = now
}

// correct takes by how much the headroom was off what was predicted, with the whole variance of that difference.
func (t *Tracker) correct(off, variance float64) {
	s := t.spread
	gain := [2]float64{s[0][0] / variance, s[1][0] / variance}
	t.value = min(max(t.value+gain[0]*off, 0), MaxHeadroom)
	t.slope += gain[1] * off
	for i := range gain {
		for j := range gain {
			t.spread[i][j] = s[i][j] - gain[i]*s[0][j]
		}
	}
	t.usual += usualShare * (t.value - t.usual)
}

// Observe takes a headroom without neighbors and its variance into account.
func (t *Tracker) Observe(now time.Time, headroom, variance float64) {
	t.advance(now)
	t.correct(headroom-t.value, t.spread[0][0]+variance)
}

// Predict returns the headroom without neighbors that is likely at a time, and its standard deviation.
func (t *Tracker) Predict(at time.Time) (float64, float64) {
	if !t.HasObservation() || at.Sub(t.seen).Seconds() > mostGap {
		return UnknownHeadroom, UnknownDeviation
	}
	after := max(at.Sub(t.seen).Seconds(), 0)
	ahead := *t
	ahead.advance(at)
	value := t.usual + (ahead.value-t.usual)*math.Exp(-after/usualAfter)
	return min(max(value, 0), MaxHeadroom), min(math.Sqrt(max(ahead.spread[0][0], 0)), UnknownDeviation)
}
