package cell

import (
	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// Task is a task that was placed at least once, or a replica of a service.
type Task struct {
	id          task.ID
	workload    string
	service     bool
	retired     bool
	incarnation task.Incarnation
	instance    string
	size        resource.Vector
	checkpoint  string
	failures    int
	evictions   int
	losses      crash.Losses
}

// ID returns the identifier of the task.
func (t Task) ID() task.ID { return t.id }

// Workload returns the workload of the task.
func (t Task) Workload() string { return t.workload }

// IsService reports whether the task is a replica of a service.
func (t Task) IsService() bool { return t.service }

// IsRetired reports whether the replica must stop and not be placed again.
func (t Task) IsRetired() bool { return t.retired }

// Incarnation returns the incarnation of the latest start, 0 for none.
func (t Task) Incarnation() task.Incarnation { return t.incarnation }

// Run returns the latest run of the task.
func (t Task) Run() task.Run { return task.NewRun(t.id, t.incarnation) }

// Instance returns the VM instance that the task is placed on, empty while it waits.
func (t Task) Instance() string { return t.instance }

// IsPlaced reports whether the task is placed on a VM.
func (t Task) IsPlaced() bool { return t.instance != "" }

// Size returns the VM resources allocated to the latest run.
func (t Task) Size() resource.Vector { return t.size }

// Checkpoint returns the reference to resume from, empty for none.
func (t Task) Checkpoint() string { return t.checkpoint }

// Failures returns how often the task has failed.
func (t Task) Failures() int { return t.failures }

// Losses returns the runs in a row that were lost with their VMs.
func (t Task) Losses() crash.Losses { return t.losses }

// Evictions returns how often the task was evicted.
func (t Task) Evictions() int { return t.evictions }
