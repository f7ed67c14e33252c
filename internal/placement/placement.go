package placement

import (
	"math"

	"github.com/saffronpulley/saffronpulley/internal/resource"
)

//go:generate stringer -type=Reason -linecomment -output=reason_string.go

// Reason says why a node was chosen, or why it cannot be.
type Reason int

// The reasons, in the order in which a node is tested.
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

// Candidate is what is known of one VM.
type Candidate struct {
	capacity resource.Vector
	free     resource.Vector
	rack     int
	closed   Reason
	pressed  bool
	harm     float64
	replicas int
	rackmate int
}

// NewCandidate returns a node with its capacity and what is free of it, in a rack.
func NewCandidate(capacity, free resource.Vector, rack int) Candidate {
	return Candidate{capacity: capacity, free: free, rack: rack}
}

// Close keeps all tasks off the node for a reason.
func (n *Candidate) Close(reason Reason) { n.closed = reason }

// BlockBatch keeps batch tasks off the node, since its services are near their target.
func (n *Candidate) BlockBatch() { n.pressed = true }

// SetInterference sets by how much, as an upper bound of the share of the target, the task would slow the services there.
func (n *Candidate) SetInterference(harm float64) { n.harm = harm }

// SetReplicas sets how many replicas of the same service the node and its rack run.
func (n *Candidate) SetReplicas(onNode, onRack int) { n.replicas, n.rackmate = onNode, onRack }

// HasReplica reports whether the node runs a replica of the same service.
func (n *Candidate) HasReplica() bool { return n.replicas > 0 }

// Allocate lessens what is free on the node.
func (n *Candidate) Allocate(size resource.Vector) { n.free = n.free.Sub(size) }

// Free returns what is free on the node.
func (n *Candidate) Free() resource.Vector { return n.free }

// Weights say how much each part of the cost counts.
type Weights struct {
	Fit             float64
	Spread          float64
	Interference    float64
	MaxInterference float64
}

// DefaultWeights are the weights by which the simulated days of proving/decision were measured.
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

// Result is the answer: a node, or how many nodes were passed over for each reason.
type Result struct {
	node   int
	cost   float64
	counts [reasonCount]int
}

// Index returns the place of the chosen node, or -1 for none.
func (v *Result) Index() int { return v.node }

// MainReason returns the reason for which most nodes were passed over, or Chosen.
func (v *Result) MainReason() Reason {
	if v.node >= 0 {
		return Chosen
	}
	most := NoWorkers
	for r := WorkerLeaving; r < reasonCount; r++ {
		if v.counts[r] > v.counts[most] {
			most = r
		}
	}
	return most
}

// Choose returns the node of least cost that the request fits on; it allocates nothing.
func Choose(request Request, nodes []Candidate, weights Weights) Result {
	verdict := Result{node: -1, cost: math.Inf(1)}
	for i := range nodes {
		n := &nodes[i]
		if reason := n.refuses(request, weights); reason != Chosen {
			verdict.counts[reason]++
			continue
		}
		if cost := n.cost(request, weights); cost < verdict.cost {
			verdict.node, verdict.cost = i, cost
		}
	}
	return verdict
}

func (n *Candidate) refuses(request Request, weights Weights) Reason {
	switch {
	case n.closed != Chosen:
		return n.closed
	case request.service && n.replicas > 0:
		return WorkerHasReplica
	case request.size.Processors() > n.free.Processors():
		return TooFewProcessors
	case request.size.Memory() > n.free.Memory():
		return TooLittleMemory
	case request.size.Accelerators() > n.free.Accelerators():
		return NoAccelerators
	case !request.service && n.pressed:
		return WorkerNearTarget
	case !request.service && n.harm > weights.MaxInterference:
		return WorkerInterference
	default:
		return Chosen
	}
}

func (n *Candidate) cost(request Request, weights Weights) float64 {
	left := n.free.Sub(request.size)
	cost := weights.Fit * n.imbalance(left)
	if request.service {
		cost += weights.Spread * float64(n.rackmate)
		cost += weights.Fit * (1 - share(left.Processors(), n.capacity.Processors()))
	} else {
		cost += weights.Interference * n.harm
		cost += weights.Fit * (1 - share(left.Processors(), n.capacity.Processors())) / 2
	}
	return cost
}

// imbalance is how far apart the shares of processors and memory that stay free are.
func (n *Candidate) imbalance(left resource.Vector) float64 {
	return math.Abs(share(left.Processors(), n.capacity.Processors()) - share(left.Memory(), n.capacity.Memory()))
}

func share(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
