package control

import (
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// Run is the wire format of a run between agents and leaders, with short keys to save bytes.
type Run struct {
	Job         string `json:"j"`
	Index       int    `json:"i,omitempty"`
	Incarnation uint64 `json:"n"`
}

// EncodeRun returns the wire format of a run.
func EncodeRun(r task.Run) Run {
	return Run{Job: r.ID().Job(), Index: r.ID().Index(), Incarnation: uint64(r.Incarnation())}
}

// Decode returns the run of the wire format.
func (r Run) Decode() task.Run {
	return task.NewRun(task.NewID(r.Job, r.Index), task.Incarnation(r.Incarnation))
}

// Size is the wire format of a resource vector: thousandths of a processor, mebibytes and accelerators.
type Size [3]int64

// EncodeSize returns the wire format of a resource vector.
func EncodeSize(v resource.Vector) Size {
	return Size{v.Processors(), v.Memory(), v.Accelerators()}
}

// Decode returns the resource vector of the wire format.
func (s Size) Decode() resource.Vector { return resource.New(s[0], s[1], s[2]) }
