package resource

import "fmt"

// MillisPerProcessor is how many units of Vector.Processors make one processor.
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

// Accelerators returns the whole accelerators.
func (v Vector) Accelerators() int64 { return v.accelerators }

// Add returns the sum of both vectors.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.processors + o.processors, v.memory + o.memory, v.accelerators + o.accelerators}
}

// Sub returns what is left of v without o, which may be below zero.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.processors - o.processors, v.memory - o.memory, v.accelerators - o.accelerators}
}

// Max returns the larger of both vectors in each resource.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.processors, o.processors), max(v.memory, o.memory), max(v.accelerators, o.accelerators)}
}

// Fits reports whether v is no larger than room in each resource.
func (v Vector) Fits(room Vector) bool {
	return v.processors <= room.processors && v.memory <= room.memory && v.accelerators <= room.accelerators
}

// DominantShare returns the largest share, 0 to 1 and above, that v takes of total in one resource.
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

// String returns the vector for people, with its units.
func (v Vector) String() string {
	return fmt.Sprintf("%.3g processors, %d MiB, %d accelerators",
		float64(v.processors)/MillisPerProcessor, v.memory, v.accelerators)
}
