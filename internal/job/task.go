package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// TaskID identifies a task by its job, the iteration of the job, its step and its index in the step.
type TaskID struct {
	Job       ID
	Iteration int
	Step      int
	Index     int
}

// String returns the task name used in calls to the worker, in the form job.iteration.step.index.
func (t TaskID) String() string { return t.StepName() + "." + strconv.Itoa(t.Index) }

// StepName returns the name of the task's step in its iteration, in the form job.iteration.step.
func (t TaskID) StepName() string { return fmt.Sprintf("%s.%d.%d", t.Job, t.Iteration, t.Step) }

// ParseTaskID parses a task name in the form returned by String.
func ParseTaskID(text string) (TaskID, bool) {
	parts := strings.Split(text, ".")
	var numbers [3]int
	if len(parts) != 1+len(numbers) {
		return TaskID{}, false
	}
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		numbers[i] = n
	}
	return TaskID{Job: ID(parts[0]), Iteration: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// Host is one incarnation of a worker on a VM.
type Host struct {
	VM          string
	Incarnation incarnation.ID
}

// Phase is the scheduling state of a task.
type Phase int

//go:generate stringer -type=Phase,State,End -linecomment -output=names_string.go

// The phases of a task.
const (
	Waiting Phase = iota // waiting
	Placed               // placed
	Done                 // done
)

// State is the state of a job as callers see it.
type State int

// The states of a job.
const (
	Queued    State = iota // queued
	Running                // running
	Completed              // completed
	Failed                 // failed
	Canceled               // cancelled
)

// IsFinal reports whether the state can no longer change.
func (s State) IsFinal() bool { return s >= Completed }

// End is the outcome of a run.
type End int

// The outcomes of a run. EndLapsed is the expiry of its lease or the loss of its worker, EndGangBroken follows the failure
// of another gang member, and EndGangIncomplete is the end of a gang that lacked members.
const (
	EndDone           End = iota // done
	EndFailed                    // failed
	EndStopped                   // stopped
	EndLapsed                    // lapsed
	EndGangBroken                // broken
	EndGangIncomplete            // alone
)

// ParseEnd returns the outcome with a name, or false for an unknown name.
func ParseEnd(name string) (End, bool) {
	for e := EndDone; e <= EndGangIncomplete; e++ {
		if e.String() == name {
			return e, true
		}
	}
	return EndDone, false
}

// Task is the state of one task of a job.
type Task struct {
	phase    Phase
	run      int
	failures int
	// failedRun is the latest run counted in failures.
	failedRun  int
	host       Host
	checkpoint string
	// history records the worker crashes attributed to the task and its lost runs; crashRun is the latest run with a counted crash,
	// lostRun the latest run counted as lost, unresolved are runs counted as lost while it was unknown whether the worker had crashed.
	history    crash.History
	crashRun   int
	lostRun    int
	unresolved []int
}

// Phase returns the scheduling state of the task.
func (t *Task) Phase() Phase { return t.phase }

// Run returns the number of the latest run, or 0 before the first.
func (t *Task) Run() int { return t.run }

// Host returns the worker incarnation on which the latest run was placed.
func (t *Task) Host() Host { return t.host }

// Checkpoint returns the latest checkpoint, or an empty string if there is none.
func (t *Task) Checkpoint() string { return t.checkpoint }
