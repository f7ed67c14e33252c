package worker

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// Description is a worker's report of its VM.
type Description struct {
	instance    string
	capacity    resource.Vector
	slots       int
	connections int
}

// NewDescription returns a description; no two VMs ever have the same instance name.
func NewDescription(instance string, capacity resource.Vector, slots, connections int) Description {
	return Description{instance, capacity, slots, connections}
}

// Instance returns the name of the VM instance, which is never reused.
func (d Description) Instance() string { return d.instance }

// Capacity returns the capacity of the VM.
func (d Description) Capacity() resource.Vector { return d.capacity }

// Slots returns the maximum number of concurrent requests.
func (d Description) Slots() int { return d.slots }

// Connections returns the maximum number of connections that the endpoint accepts.
func (d Description) Connections() int { return d.connections }

// Status is a worker's report of one run of a task.
type Status struct {
	run        task.Run
	workload   string
	state      task.State
	size       resource.Vector
	checkpoint string
	address    string
	progress   float64
}

// NewStatus returns the status of a run.
func NewStatus(run task.Run, workload string, state task.State, size resource.Vector) Status {
	return Status{run: run, workload: workload, state: state, size: size}
}

// WithCheckpoint returns the status with the reference of the latest checkpoint.
func (s Status) WithCheckpoint(reference string) Status { s.checkpoint = reference; return s }

// WithAddress returns the status with the address of the service's endpoint.
func (s Status) WithAddress(address string) Status { s.address = address; return s }

// WithProgress returns the status with the share of the work done, 0 to 1.
func (s Status) WithProgress(progress float64) Status { s.progress = progress; return s }

// Run returns the run.
func (s Status) Run() task.Run { return s.run }

// Workload returns the workload of the task.
func (s Status) Workload() string { return s.workload }

// State returns the state of the run.
func (s Status) State() task.State { return s.state }

// Size returns the VM resources allocated to the run.
func (s Status) Size() resource.Vector { return s.size }

// Checkpoint returns the reference of the latest checkpoint, empty for none.
func (s Status) Checkpoint() string { return s.checkpoint }

// Address returns the address, in the form host:port, of a service's endpoint; it is empty for batch.
func (s Status) Address() string { return s.address }

// Progress returns the share of the work done, 0 to 1.
func (s Status) Progress() float64 { return s.progress }

// Order is an order to start a run.
type Order struct {
	run        task.Run
	workload   string
	service    bool
	size       resource.Vector
	checkpoint string
	lease      time.Duration
}

// NewOrder returns an order to start a run with a size under a lease.
func NewOrder(run task.Run, workload string, service bool, size resource.Vector, checkpoint string, lease time.Duration) Order {
	return Order{run, workload, service, size, checkpoint, lease}
}

// Run returns the run to start.
func (o Order) Run() task.Run { return o.run }

// Workload returns the workload of the task.
func (o Order) Workload() string { return o.workload }

// IsService reports whether the run serves requests.
func (o Order) IsService() bool { return o.service }

// Size returns the VM resources that the run may use.
func (o Order) Size() resource.Vector { return o.size }

// Checkpoint returns the reference to resume from, empty to start from the beginning.
func (o Order) Checkpoint() string { return o.checkpoint }

// Lease returns how long the run continues unless its lease is renewed.
func (o Order) Lease() time.Duration { return o.lease }

// Usage is the measured resource usage of one run, which lags by the delay of the worker's reports.
type Usage struct {
	run  task.Run
	used resource.Vector
}

// NewUsage returns the measured resource usage of a run.
func NewUsage(run task.Run, used resource.Vector) Usage { return Usage{run: run, used: used} }

// Run returns the run.
func (u Usage) Run() task.Run { return u.run }

// Used returns the VM resources used by the run.
func (u Usage) Used() resource.Vector { return u.used }

// Worker is the platform's worker on the agent's VM.
//
// Start and Stop are idempotent for the same run.
type Worker interface {
	// Describe returns the identity and the limits of the VM.
	Describe(ctx context.Context) (Description, error)
	// List returns all runs of the worker that were not dropped by Forget.
	List(ctx context.Context) ([]Status, error)
	// Start starts a run; it does nothing if the run was started before.
	Start(ctx context.Context, order Order) error
	// Renew extends the leases of all given runs.
	Renew(ctx context.Context, runs []task.Run, lease time.Duration) error
	// Throttle limits a run to a share, 1 to 100 percent, of its processors.
	Throttle(ctx context.Context, run task.Run, percent int) error
	// Checkpoint asks a run to save its progress and end; List shows when it has.
	Checkpoint(ctx context.Context, run task.Run) error
	// Stop ends a run and discards its progress since the latest checkpoint.
	Stop(ctx context.Context, run task.Run) error
	// Forget removes an ended run from List.
	Forget(ctx context.Context, run task.Run) error
	// Usage returns the latest measurements, which lag behind the actual usage.
	Usage(ctx context.Context) ([]Usage, error)
}
