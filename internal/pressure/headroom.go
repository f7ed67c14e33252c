package pressure

import "math"

// The headroom of a serving task is its latency target over its tail latency: 1 at the target, 2 if the tail latency
// is half of it. The tail latency of a queue grows as 1/(1-load), so headroom falls linearly with load, and the losses
// by neighbors add up. On a recorded day with neighbors at full pace, sums explain 0.85 to 0.91 of its variance, where
// sums over the logarithm of the tail latency explain 0.37 to 0.78.

const (
	// MaxHeadroom bounds the headroom, since tail latencies in whole milliseconds are inaccurate for a nearly idle
	// task.
	MaxHeadroom = 6
	// saturatedHeadroom is the headroom below which a tail latency no longer shows by how much a task is overloaded.
	saturatedHeadroom = 0.15
)

// Headroom returns the target over the tail latency, both in the same unit, at most MaxHeadroom.
func Headroom(tail, target float64) float64 {
	if tail <= 0 {
		return MaxHeadroom
	}
	return min(max(target, 0)/tail, MaxHeadroom)
}

// MeasurementVariance returns the variance of a headroom from a tail latency in whole milliseconds, including its
// variation within the half second of a measurement.
func MeasurementVariance(headroom, targetMillis float64) float64 {
	// roundingDeviation is the standard deviation of a rounded value, 1 over the square root of 12; shortTermDeviation
	// is that between two measurements of a steady task on a recorded day.
	const roundingDeviation, shortTermDeviation = 0.29, 0.1
	rounding := roundingDeviation * headroom * headroom / max(targetMillis, 1)
	return rounding*rounding + shortTermDeviation*shortTermDeviation
}

// ViolationProbability returns the probability that a task violates its target, for a predicted headroom with a
// standard deviation.
func ViolationProbability(headroom, deviation float64) float64 {
	return math.Erfc((headroom-1)/(max(deviation, minDeviation)*math.Sqrt2)) / 2
}

// minDeviation keeps a prediction from counting as certain.
const minDeviation = 0.05

// ViolationCost is the share of a worker's processors that best-effort work has to use to outweigh one target
// violation that it causes. The owners of seven deployments value a second of violation at 0.2 to 0.4 of a worker, but
// most tasks that are predicted to violate their target do not: with 0.14 best-effort work gets 0.02 to 0.08 more of
// its objective than with 0.28 and serving tasks 0.02 to 0.04 less, and the total gains 0.040 +- 0.007 where a third
// more batch work arrives than can be done, and 0 to 0.027 elsewhere (pairs of simulated days). With 0.07 the total
// gains no more and serving tasks lose 0.07.
const ViolationCost = 0.14

// Mean returns the mean shares of two measurements of the use by images, since tail latency lags behind the use that
// causes it.
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
