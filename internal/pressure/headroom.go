package pressure

import "math"

// The headroom of a serving task is its target over its tail: 1 at the target, 2 where the tail is half of that. The tail of
// a queue grows as 1/(1-load), so headroom falls evenly with load, and what each neighbor takes of it adds up. On a recorded
// day with neighbors at full pace, sums explain 0.85 to 0.91 of its variance, where sums over the logarithm of the tail
// explain 0.37 to 0.78.

const (
	// MaxHeadroom bounds what is believed: tails in whole milliseconds say little about a task that hardly works.
	MaxHeadroom = 6
	// saturated is the headroom below which a tail no longer tells how far the load is beyond what the task can bear.
	saturated = 0.15
)

// Headroom returns the target over the tail, both in the same unit, at most MostHeadroom.
func Headroom(tail, target float64) float64 {
	if tail <= 0 {
		return MaxHeadroom
	}
	return min(max(target, 0)/tail, MaxHeadroom)
}

// MeasurementVariance returns the variance of a headroom that comes from a tail in whole milliseconds, beside what moves by itself within
// the half second that a figure covers.
func MeasurementVariance(headroom, targetMillis float64) float64 {
	// roundingDeviation is the standard deviation of a rounded figure, 1 over the square root of 12; momentDeviation is
	// what a steady task shows between two figures on a recorded day.
	const roundingDeviation, momentDeviation = 0.29, 0.1
	rounding := roundingDeviation * headroom * headroom / max(targetMillis, 1)
	return rounding*rounding + momentDeviation*momentDeviation
}

// ViolationProbability returns how likely a task whose headroom is predicted with a standard deviation is over its target.
func ViolationProbability(headroom, deviation float64) float64 {
	return math.Erfc((headroom-1)/(max(deviation, leastDeviation)*math.Sqrt2)) / 2
}

// leastDeviation keeps a prediction from being taken as certain.
const leastDeviation = 0.05

// ViolationCost is the share of a worker's processors that batch work has to get done to outweigh one serving task that is over
// its target by its doing. The owners of seven deployments count such a second as 0.2 to 0.4 of a worker, yet most tasks that are
// weighed as harmed bear it: at 0.14 batch gets 0.02 to 0.08 more of what it is owed than at 0.28 and serving tasks 0.02 to 0.04
// less, and the whole gains 0.040 +- 0.007 where a third more batch comes than can be done, and nothing to 0.027 elsewhere (pairs of
// played days). 0.07 gains no more and costs serving tasks 0.07.
const ViolationCost = 0.14

// Mean returns the mean of what images used by two figures, since a tail lags behind the use that it comes from.
func Mean(before, now map[string]float64) map[string]float64 {
	mean := make(map[string]float64, len(now))
	for image, share := range before {
		mean[image] += share / 2
	}
	for image, share := range now {
		mean[image] += share / 2
	}
	return mean
}
