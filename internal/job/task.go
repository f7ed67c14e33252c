package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// TaskID names a task: its job, which of the job's times, its step, and its number in the step.
type TaskID struct {
	Job       ID
	Iteration int
	Step      int
	Index     int
}

// String returns the name of the task as the worker knows it.
func (t TaskID) String() string { return t.StepName() + "." + strconv.Itoa(t.Index) }

// StepName names the step of the task, of one time of its job.
func (t TaskID) StepName() string { return fmt.Sprintf("%s.%d.%d", t.Job, t.Iteration, t.Step) }

// ParseTaskID reads the name of a task.
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

// Phase says where a task stands.
type Phase int

//go:generate stringer -type=Phase,State,End -linecomment -output=names_string.go

// The phases of a task.
const (
	Waiting Phase = iota // waiting
	Placed               // placed
	Done                 // done
)

// State is what callers are told of a job.
type State int

// The states of a job.
const (
	Queued    State = iota // queued
	Running                // running
	Completed              // completed
	Failed                 // failed
	Canceled               // cancelled
)

// IsFinal reports whether the state no longer changes.
func (s State) IsFinal() bool { return s >= Completed }

// End is how a run ended.
type End int

// The ends of a run.
const (
	EndDone           End = iota // done
	EndFailed                    // failed
	EndStopped                   // stopped
	EndLapsed                    // lapsed
	EndGangBroken                // broken
	EndGangIncomplete            // alone
)

// ParseEnd returns the end of a name, false where there is none.
func ParseEnd(name string) (End, bool) {
	for e := EndDone; e <= EndGangIncomplete; e++ {
		if e.String() == name {
			return e, true
		}
	}
	return EndDone, false
}

// Task is the state of a task.
type Task struct {
	phase      Phase
	run        int
	failures   int
	host       Host
	checkpoint string
	// suspicion is what is held against the task for crashes of workers; judged is the latest run for which a crash was counted by
	// what was told of it, lost the latest that was counted as lost, unseen are those that were while it was not known whether the
	// worker had crashed.
	suspicion crash.History
	judged    int
	lost      int
	unseen    []int
}

// Phase returns where the task stands.
func (t *Task) Phase() Phase { return t.phase }

// Run returns the number of the latest run, 0 before the first.
func (t *Task) Run() int { return t.run }

// Host returns where the latest run was placed.
func (t *Task) Host() Host { return t.host }

// Checkpoint returns the latest saved progress, empty for none.
func (t *Task) Checkpoint() string { return t.checkpoint }
