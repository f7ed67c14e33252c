package worker

import (
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// SizeWire is the wire form of a resource vector in the worker's interface.
type SizeWire struct {
	Processors   int64 `json:"milli_processors"`
	Memory       int64 `json:"mebibytes"`
	Accelerators int64 `json:"accelerators"`
}

// DescriptionWire is the wire form of a Description.
type DescriptionWire struct {
	Instance    string   `json:"instance"`
	Capacity    SizeWire `json:"capacity"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
}

// RunWire is the wire form of a run.
type RunWire struct {
	Job         string `json:"job"`
	Index       int    `json:"index"`
	Incarnation uint64 `json:"incarnation"`
}

// StatusWire is the wire form of a Status.
type StatusWire struct {
	Run        RunWire  `json:"run"`
	Workload   string   `json:"workload"`
	State      string   `json:"state"`
	Size       SizeWire `json:"size"`
	Checkpoint string   `json:"checkpoint,omitempty"`
	Address    string   `json:"address,omitempty"`
	Progress   float64  `json:"progress"`
}

// OrderWire is the wire form of an Order.
type OrderWire struct {
	Run         RunWire  `json:"run"`
	Workload    string   `json:"workload"`
	Service     bool     `json:"service"`
	Size        SizeWire `json:"size"`
	Checkpoint  string   `json:"checkpoint,omitempty"`
	LeaseMillis int64    `json:"lease_ms"`
}

// RenewWire is the request to extend the leases of runs.
type RenewWire struct {
	Runs        []RunWire `json:"runs"`
	LeaseMillis int64     `json:"lease_ms"`
}

// ThrottleWire is the request to limit a run to a percentage of its processors.
type ThrottleWire struct {
	Run     RunWire `json:"run"`
	Percent int     `json:"percent"`
}

// UsageWire is the wire form of a Usage.
type UsageWire struct {
	Run  RunWire  `json:"run"`
	Used SizeWire `json:"used"`
}

// EncodeSize returns the wire form of the vector.
func EncodeSize(v resource.Vector) SizeWire {
	return SizeWire{Processors: v.Processors(), Memory: v.Memory(), Accelerators: v.Accelerators()}
}

// Decode returns the vector of the wire form.
func (w SizeWire) Decode() resource.Vector {
	return resource.New(w.Processors, w.Memory, w.Accelerators)
}

// EncodeRun returns the wire form of the run.
func EncodeRun(r task.Run) RunWire {
	return RunWire{Job: r.ID().Job(), Index: r.ID().Index(), Incarnation: uint64(r.Incarnation())}
}

// Decode returns the run of the wire form.
func (w RunWire) Decode() task.Run {
	return task.NewRun(task.NewID(w.Job, w.Index), task.Incarnation(w.Incarnation))
}

// EncodeRuns returns the wire forms of the runs.
func EncodeRuns(runs []task.Run) []RunWire {
	encoded := make([]RunWire, 0, len(runs))
	for _, r := range runs {
		encoded = append(encoded, EncodeRun(r))
	}
	return encoded
}

// Decode returns the status of the wire form.
func (w StatusWire) Decode() Status {
	status := NewStatus(w.Run.Decode(), w.Workload, task.ParseState(w.State), w.Size.Decode())
	return status.WithCheckpoint(w.Checkpoint).WithAddress(w.Address).WithProgress(w.Progress)
}

func encodeOrder(o Order) OrderWire {
	return OrderWire{
		Run: EncodeRun(o.run), Workload: o.workload, Service: o.service, Size: EncodeSize(o.size),
		Checkpoint: o.checkpoint, LeaseMillis: o.lease.Milliseconds(),
	}
}
