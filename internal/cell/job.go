package cell

import "time"

//go:generate stringer -type=JobState -linecomment -output=jobstate_string.go

// JobState is the state of a job.
type JobState int

// The states of a job.
const (
	JobWaiting  JobState = iota // waiting
	JobRunning                  // running
	JobFinished                 // finished
	JobFailed                   // failed
	JobCanceled                 // canceled
)

// IsFinal reports whether the job has ended.
func (s JobState) IsFinal() bool { return s >= JobFinished }

// Job is a set of identical tasks of one batch workload.
type Job struct {
	id        string
	workload  string
	payload   string
	tasks     int
	nextIndex int
	finished  int
	failed    int
	evictions int
	canceled  bool
	submitted time.Time
}

// NewJob returns a job with a number of tasks, each of which receives the payload.
func NewJob(id, workload, payload string, tasks int, submitted time.Time) Job {
	return Job{id: id, workload: workload, payload: payload, tasks: tasks, submitted: submitted}
}

// ID returns the identifier of the job.
func (j Job) ID() string { return j.id }

// Workload returns the workload of the job's tasks.
func (j Job) Workload() string { return j.workload }

// Payload returns the payload of each task.
func (j Job) Payload() string { return j.payload }

// Tasks returns the number of tasks.
func (j Job) Tasks() int { return j.tasks }

// Finished returns the number of tasks that have finished.
func (j Job) Finished() int { return j.finished }

// Failed returns the number of tasks that were given up after failures or losses.
func (j Job) Failed() int { return j.failed }

// Evictions returns the number of evictions of the job's tasks.
func (j Job) Evictions() int { return j.evictions }

// Submitted returns when the job was submitted, by the clock of the entry.
func (j Job) Submitted() time.Time { return j.submitted }

// Unstarted returns the number of tasks that were never placed.
func (j Job) Unstarted() int { return j.tasks - j.nextIndex }

// State returns the state of the job.
func (j Job) State() JobState {
	switch {
	case j.canceled:
		return JobCanceled
	case j.finished+j.failed >= j.tasks && j.failed > 0:
		return JobFailed
	case j.finished >= j.tasks:
		return JobFinished
	case j.nextIndex > 0:
		return JobRunning
	default:
		return JobWaiting
	}
}
