package control

import (
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// Run is a run as it travels between agents and leads, where bytes count.
type Run struct {
	Job         string `json:"j"`
	Index       int    `json:"i,omitempty"`
	Incarnation uint64 `json:"n"`
}

// EncodeRun returns the run as it travels.
func EncodeRun(r task.Run) Run {
	return Run{Job: r.ID().Job(), Index: r.ID().Index(), Incarnation: uint64(r.Incarnation())}
}

// Decode returns the run that travelled.
func (r Run) Decode() task.Run {
	return task.NewRun(task.NewID(r.Job, r.Index), task.Incarnation(r.Incarnation))
}

// Size is a resource vector as it travels: thousandths of a processor, mebibytes and accelerators.
type Size [3]int64

// EncodeSize returns the vector as it travels.
func EncodeSize(v resource.Vector) Size {
	return Size{v.Processors(), v.Memory(), v.Accelerators()}
}

// Decode returns the vector that travelled.
func (s Size) Decode() resource.Vector { return resource.New(s[0], s[1], s[2]) }
