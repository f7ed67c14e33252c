package resource

import "fmt"

// MillisPerProcessor is the number of units of Vector.Processors in one processor.
const MillisPerProcessor = 1000

// Vector is an amount of each resource of a VM.
type Vector struct {
	processors   int64
	memory       int64
	accelerators int64
}

// New returns a vector of thousandths of a processor, mebibytes of memory and whole accelerators.
func New(milliProcessors, mebibytes, accelerators int64) Vector {
	return Vector{processors: milliProcessors, memory: mebibytes, accelerators: accelerators}
}

// Processors returns the thousandths of a processor.
func (v Vector) Processors() int64 { return v.processors }

// Memory returns the mebibytes of memory.
func (v Vector) Memory() int64 { return v.memory }

// Accelerators returns the number of accelerators.
func (v Vector) Accelerators() int64 { return v.accelerators }

// Add returns the sum of both vectors.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.processors + o.processors, v.memory + o.memory, v.accelerators + o.accelerators}
}

// Sub returns v minus o, which may be negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.processors - o.processors, v.memory - o.memory, v.accelerators - o.accelerators}
}

// Max returns the larger of both vectors in each resource.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.processors, o.processors), max(v.memory, o.memory), max(v.accelerators, o.accelerators)}
}

// Fits reports whether v is no larger than capacity in each resource.
func (v Vector) Fits(capacity Vector) bool {
	return v.processors <= capacity.processors && v.memory <= capacity.memory && v.accelerators <= capacity.accelerators
}

// DominantShare returns the largest share of total that v takes in one resource; it may exceed 1.
func (v Vector) DominantShare(total Vector) float64 {
	share := ratio(v.processors, total.processors)
	share = max(share, ratio(v.memory, total.memory))
	return max(share, ratio(v.accelerators, total.accelerators))
}

func ratio(part, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// String returns the vector in readable form, with its units.
func (v Vector) String() string {
	return fmt.Sprintf("%.3g processors, %d MiB, %d accelerators",
		float64(v.processors)/MillisPerProcessor, v.memory, v.accelerators)
}
