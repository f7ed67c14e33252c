package worker

import (
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// SizeWire is a resource vector as the worker's interface writes it.
type SizeWire struct {
	Processors   int64 `json:"milli_processors"`
	Memory       int64 `json:"mebibytes"`
	Accelerators int64 `json:"accelerators"`
}

// DescriptionWire is a description as the worker's interface writes it.
type DescriptionWire struct {
	Instance    string   `json:"instance"`
	Capacity    SizeWire `json:"capacity"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
}

// RunWire is a run as the worker's interface writes it.
type RunWire struct {
	Job         string `json:"job"`
	Index       int    `json:"index"`
	Incarnation uint64 `json:"incarnation"`
}

// StatusWire is a status as the worker's interface writes it.
type StatusWire struct {
	Run        RunWire  `json:"run"`
	Workload   string   `json:"workload"`
	State      string   `json:"state"`
	Size       SizeWire `json:"size"`
	Checkpoint string   `json:"checkpoint,omitempty"`
	Address    string   `json:"address,omitempty"`
	Progress   float64  `json:"progress"`
}

// OrderWire is an order as the worker's interface reads it.
type OrderWire struct {
	Run         RunWire  `json:"run"`
	Workload    string   `json:"workload"`
	Service     bool     `json:"service"`
	Size        SizeWire `json:"size"`
	Checkpoint  string   `json:"checkpoint,omitempty"`
	LeaseMillis int64    `json:"lease_ms"`
}

// RenewWire asks to prolong the leases of runs.
type RenewWire struct {
	Runs        []RunWire `json:"runs"`
	LeaseMillis int64     `json:"lease_ms"`
}

// ThrottleWire asks to limit a run to a share of its processors.
type ThrottleWire struct {
	Run     RunWire `json:"run"`
	Percent int     `json:"percent"`
}

// UsageWire is the measured use of a run.
type UsageWire struct {
	Run  RunWire  `json:"run"`
	Used SizeWire `json:"used"`
}

// EncodeSize returns the vector as it is written.
func EncodeSize(v resource.Vector) SizeWire {
	return SizeWire{Processors: v.Processors(), Memory: v.Memory(), Accelerators: v.Accelerators()}
}

// Decode returns the vector that was written.
func (w SizeWire) Decode() resource.Vector {
	return resource.New(w.Processors, w.Memory, w.Accelerators)
}

// EncodeRun returns the run as it is written.
func EncodeRun(r task.Run) RunWire {
	return RunWire{Job: r.ID().Job(), Index: r.ID().Index(), Incarnation: uint64(r.Incarnation())}
}

// Decode returns the run that was written.
func (w RunWire) Decode() task.Run {
	return task.NewRun(task.NewID(w.Job, w.Index), task.Incarnation(w.Incarnation))
}

// EncodeRuns returns the runs as they are written.
func EncodeRuns(runs []task.Run) []RunWire {
	wires := make([]RunWire, 0, len(runs))
	for _, r := range runs {
		wires = append(wires, EncodeRun(r))
	}
	return wires
}

// Decode returns the status that was written.
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
