package pressure

import (
	"math"
	"time"
)

// Tracker estimates the headroom that a serving task would have without neighbors, which varies with its load around a
// mean, by a Kalman filter over the headroom and its slope. The zero Tracker has no observation.
//
// On a recorded day, a straight line with a fading slope predicted target violations with a mean logarithmic loss of
// 0.154, a periodic load of the right frequency with 0.136.
type Tracker struct {
	headroom, slope float64
	// covariance is the covariance of headroom and slope.
	covariance [2][2]float64
	// mean is the mean of the headroom over about the last quarter of a minute.
	mean float64
	// frequency is the load frequency in radians a second.
	frequency  float64
	observedAt time.Time
}

const (
	// UnknownHeadroom is the headroom of a task without measurements, the mean of idle tasks on recorded days.
	UnknownHeadroom = 2.5
	// UnknownDeviation is the standard deviation of UnknownHeadroom, from the same days.
	UnknownDeviation = 0.75
	// slopeDeviation is the standard deviation of an unknown slope, in headroom a second: half of the range within a
	// quarter of ten seconds.
	slopeDeviation = 0.4
	// slopeDrift is the variance that a slope gains each second beyond the periodic variation; the best of four values
	// on a recorded day.
	slopeDrift = 0.05
	// meanWeight is the weight of a new headroom in the mean.
	meanWeight = 0.03
	// reversionSeconds is the time after which a third of a prediction's offset from the mean is left, since loads are
	// never fully periodic; without it the logarithmic loss is 0.147 instead of 0.137.
	reversionSeconds = 4.0
	// maxGap is the time in seconds after which a measurement is too old to be of use.
	maxGap = 5.0
)

// HasObservation reports whether the tracker has a measurement.
func (t *Tracker) HasObservation() bool { return !t.observedAt.IsZero() }

// SetFrequency sets the load frequency, in radians a second.
func (t *Tracker) SetFrequency(frequency float64) { t.frequency = frequency }

// advance advances the estimate to now.
func (t *Tracker) advance(now time.Time) {
	gap := now.Sub(t.observedAt).Seconds()
	if !t.HasObservation() || gap > maxGap {
		*t = Tracker{headroom: UnknownHeadroom, mean: UnknownHeadroom, frequency: t.frequency, observedAt: now}
		t.covariance[0][0] = UnknownDeviation * UnknownDeviation
		t.covariance[1][1] = slopeDeviation * slopeDeviation
		return
	}
	if gap <= 0 {
		return
	}
	frequency := t.frequency
	if frequency <= 0 {
		frequency = defaultFrequency
	}
	// The transition of a periodic load around the mean: a and b give the next headroom, c and a the next slope.
	sin, a := math.Sincos(frequency * gap)
	b, c := sin/frequency, -frequency*sin
	offset, s := t.headroom-t.mean, t.covariance
	t.headroom = t.mean + a*offset + b*t.slope
	t.slope = c*offset + a*t.slope
	t.covariance[0][0] = a*a*s[0][0] + 2*a*b*s[0][1] + b*b*s[1][1] + slopeDrift*gap*gap*gap/3
	t.covariance[0][1] = a*c*s[0][0] + (a*a+b*c)*s[0][1] + a*b*s[1][1] + slopeDrift*gap*gap/2
	t.covariance[1][0] = t.covariance[0][1]
	t.covariance[1][1] = c*c*s[0][0] + 2*a*c*s[0][1] + a*a*s[1][1] + slopeDrift*gap
	t.observedAt = now
}

// correct updates the estimate by the innovation of a measurement, whose total variance is variance.
func (t *Tracker) correct(innovation, variance float64) {
	s := t.covariance
	gain := [2]float64{s[0][0] / variance, s[1][0] / variance}
	t.headroom = min(max(t.headroom+gain[0]*innovation, 0), MaxHeadroom)
	t.slope += gain[1] * innovation
	for i := range gain {
		for j := range gain {
			t.covariance[i][j] = s[i][j] - gain[i]*s[0][j]
		}
	}
	t.mean += meanWeight * (t.headroom - t.mean)
}

// Observe updates the estimate with a headroom without neighbors and its variance.
func (t *Tracker) Observe(now time.Time, headroom, variance float64) {
	t.advance(now)
	t.correct(headroom-t.headroom, t.covariance[0][0]+variance)
}

// Predict returns the expected headroom without neighbors at a time, and its standard deviation.
func (t *Tracker) Predict(at time.Time) (float64, float64) {
	if !t.HasObservation() || at.Sub(t.observedAt).Seconds() > maxGap {
		return UnknownHeadroom, UnknownDeviation
	}
	elapsed := max(at.Sub(t.observedAt).Seconds(), 0)
	predicted := *t
	predicted.advance(at)
	headroom := t.mean + (predicted.headroom-t.mean)*math.Exp(-elapsed/reversionSeconds)
	return min(max(headroom, 0), MaxHeadroom), min(math.Sqrt(max(predicted.covariance[0][0], 0)), UnknownDeviation)
}
