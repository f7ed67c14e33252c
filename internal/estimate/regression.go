package estimate

const (
	// memory is the weight of all ends after many: the last few hundred ends count, which are some minutes of a busy queue.
	memory = 300.0
	// slopePrior is the weight of the prior slope of 1, in squares of the logarithm of the estimate: a few ends outweigh it.
	slopePrior = 2.0
	// offsetPrior is the weight in ends of the prior that the estimate is right on average.
	offsetPrior = 5.0
	// priorDeviation is the standard deviation of the logarithm without evidence, between those of good estimates (0.25) and of poor ones
	// (0.97); priorEnds is its weight in ends.
	priorDeviation = 0.6
	priorEnds      = 5.0
	// withinPrior is the standard deviation of the logarithm within a step without evidence: tasks of one step take similar times.
	// withinPriorEnds is its weight in ends.
	withinPrior     = 0.25
	withinPriorEnds = 10.0
)

// regression is the weighted regression of the logarithm of the run time on that of the estimate, with exponential forgetting.
type regression struct {
	// ends is the number of ends, and weight the sum of their remaining weights.
	ends   int
	weight float64
	// meanEstimate and meanTook are the means of the logarithms; the sums of squares and of products are about these means.
	meanEstimate, meanTook                 float64
	estimateSquares, products, tookSquares float64
	// withinWeight is the remaining weight of the deviations within steps, withinSquares the sum of their squares.
	withinWeight, withinSquares float64
}

// observe adds an end with a weight of at most 1.
func (r *regression) observe(estimate, took, weight float64) {
	kept := 1 - weight/memory
	r.ends++
	r.weight = kept*r.weight + weight
	share := weight / r.weight
	x, y := estimate-r.meanEstimate, took-r.meanTook
	r.meanEstimate += share * x
	r.meanTook += share * y
	added := weight * (1 - share)
	r.estimateSquares = kept*r.estimateSquares + added*x*x
	r.products = kept*r.products + added*x*y
	r.tookSquares = kept*r.tookSquares + added*y*y
}

// observeWithin adds the deviation of an end from the mean of the previous ends of its step.
func (r *regression) observeWithin(deviation float64, previous int) {
	if previous == 0 {
		return
	}
	kept := 1 - 1/memory
	// The mean of the previous ends deviates as well, so the square is too large by a factor of 1 + 1/previous.
	n := float64(previous)
	r.withinWeight = kept*r.withinWeight + 1
	r.withinSquares = kept*r.withinSquares + deviation*deviation*n/(n+1)
}

// withinVariance returns the variance of the logarithm within a step.
func (r *regression) withinVariance() float64 {
	return (withinPriorEnds*withinPrior*withinPrior + r.withinSquares) / (withinPriorEnds + r.withinWeight)
}

// line is a fitted regression line.
type line struct {
	// center is the mean logarithm of the estimates, offset what the line adds to it there.
	center, offset, slope float64
	// variance is that of the logarithm of a run time about the line.
	variance float64
}

// line returns the line with the smallest sum of squares, which includes the deviations of the slope and of the offset from their priors.
func (r *regression) line() line {
	difference := r.meanTook - r.meanEstimate
	l := line{center: r.meanEstimate, offset: r.weight * difference / (r.weight + offsetPrior)}
	l.slope = min(max((r.products+slopePrior)/(r.estimateSquares+slopePrior), 0), 1)
	squares := r.tookSquares - 2*l.slope*r.products + l.slope*l.slope*r.estimateSquares + slopePrior*(1-l.slope)*(1-l.slope) +
		r.weight*(difference-l.offset)*(difference-l.offset) + offsetPrior*l.offset*l.offset
	l.variance = (priorEnds*priorDeviation*priorDeviation + max(squares, 0)) / (priorEnds + r.weight)
	return l
}

// at returns the predicted logarithm of the run time for the logarithm of an estimate.
func (l line) at(estimate float64) float64 { return l.center + l.offset + l.slope*(estimate-l.center) }
