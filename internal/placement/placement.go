package placement

import (
	"math"

	"github.com/saffronpulley/saffronpulley/internal/resource"
)

//go:generate stringer -type=Reason -linecomment -output=reason_string.go

// Reason is why a candidate was chosen or rejected.
type Reason int

// The reasons, in the order in which a candidate is checked.
const (
	Chosen             Reason = iota // chosen
	NoWorkers                        // no workers in the cell
	WorkerLeaving                    // worker is leaving or not heard of
	WorkerProbation                  // worker is on probation after failures
	WorkerReserved                   // worker is kept free for a task that has waited too long
	WorkerNearTarget                 // services there are near their target
	WorkerInterference               // it would slow a service there too much
	WorkerHasReplica                 // a replica of the service runs there
	TooFewProcessors                 // not enough free processors
	TooLittleMemory                  // not enough free memory
	NoAccelerators                   // not enough free accelerators
	reasonCount
)

// Candidate is a worker on which a task may be placed.
type Candidate struct {
	capacity     resource.Vector
	free         resource.Vector
	rack         int
	closed       Reason
	batchBlocked bool
	interference float64
	replicas     int
	rackReplicas int
}

// NewCandidate returns a candidate with a capacity and free capacity, in a rack.
func NewCandidate(capacity, free resource.Vector, rack int) Candidate {
	return Candidate{capacity: capacity, free: free, rack: rack}
}

// Close rejects all tasks for a reason.
func (c *Candidate) Close(reason Reason) { c.closed = reason }

// BlockBatch rejects batch tasks, since services of the worker are near their latency target.
func (c *Candidate) BlockBatch() { c.batchBlocked = true }

// SetInterference sets an upper bound of the services' slowdown once the task runs there, relative to the worker's tolerance.
func (c *Candidate) SetInterference(interference float64) { c.interference = interference }

// SetReplicas sets how many replicas of the same service run on the worker and in its rack.
func (c *Candidate) SetReplicas(onWorker, onRack int) { c.replicas, c.rackReplicas = onWorker, onRack }

// HasReplica reports whether the worker runs a replica of the same service.
func (c *Candidate) HasReplica() bool { return c.replicas > 0 }

// Allocate subtracts size from the free capacity.
func (c *Candidate) Allocate(size resource.Vector) { c.free = c.free.Sub(size) }

// Free returns the free capacity.
func (c *Candidate) Free() resource.Vector { return c.free }

// Weights are the weights of the parts of the cost, and the highest accepted interference.
type Weights struct {
	Fit             float64
	Spread          float64
	Interference    float64
	MaxInterference float64
}

// DefaultWeights returns the weights of placement, which the simulated days of proving/decision use as well.
func DefaultWeights() Weights {
	return Weights{Fit: 1, Spread: 4, Interference: 6, MaxInterference: 0.12}
}

// Request is the task to place.
type Request struct {
	size    resource.Vector
	service bool
}

// NewRequest returns a request for a task of a size.
func NewRequest(size resource.Vector, service bool) Request {
	return Request{size: size, service: service}
}

// Result is the chosen candidate, or the number of candidates rejected for each reason.
type Result struct {
	index  int
	cost   float64
	counts [reasonCount]int
}

// Index returns the index of the chosen candidate, or -1.
func (r *Result) Index() int { return r.index }

// MainReason returns the most frequent reason for rejection, or Chosen.
func (r *Result) MainReason() Reason {
	if r.index >= 0 {
		return Chosen
	}
	most := NoWorkers
	for reason := WorkerLeaving; reason < reasonCount; reason++ {
		if r.counts[reason] > r.counts[most] {
			most = reason
		}
	}
	return most
}

// Choose returns the candidate with the lowest cost that accepts the request. It does not allocate.
func Choose(request Request, candidates []Candidate, weights Weights) Result {
	result := Result{index: -1, cost: math.Inf(1)}
	for i := range candidates {
		c := &candidates[i]
		if reason := c.rejection(request, weights); reason != Chosen {
			result.counts[reason]++
			continue
		}
		if cost := c.cost(request, weights); cost < result.cost {
			result.index, result.cost = i, cost
		}
	}
	return result
}

func (c *Candidate) rejection(request Request, weights Weights) Reason {
	switch {
	case c.closed != Chosen:
		return c.closed
	case request.service && c.replicas > 0:
		return WorkerHasReplica
	case request.size.Processors() > c.free.Processors():
		return TooFewProcessors
	case request.size.Memory() > c.free.Memory():
		return TooLittleMemory
	case request.size.Accelerators() > c.free.Accelerators():
		return NoAccelerators
	case !request.service && c.batchBlocked:
		return WorkerNearTarget
	case !request.service && c.interference > weights.MaxInterference:
		return WorkerInterference
	default:
		return Chosen
	}
}

func (c *Candidate) cost(request Request, weights Weights) float64 {
	remaining := c.free.Sub(request.size)
	cost := weights.Fit * c.imbalance(remaining)
	if request.service {
		cost += weights.Spread * float64(c.rackReplicas)
		cost += weights.Fit * (1 - share(remaining.Processors(), c.capacity.Processors()))
	} else {
		cost += weights.Interference * c.interference
		cost += weights.Fit * (1 - share(remaining.Processors(), c.capacity.Processors())) / 2
	}
	return cost
}

// imbalance returns the difference between the free shares of processors and memory.
func (c *Candidate) imbalance(remaining resource.Vector) float64 {
	return math.Abs(share(remaining.Processors(), c.capacity.Processors()) - share(remaining.Memory(), c.capacity.Memory()))
}

func share(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
