package job

import "time"

// Job is a job that was accepted and how far it is.
type Job struct {
	id       ID
	spec     Spec
	queue    Queue
	accepted time.Time
	canceled bool
	failed   bool
	// begun says that a task was ever placed; open counts the tasks that are not done.
	begun bool
	open  int
	// tasks holds the tasks by time, step and number in the step.
	tasks [][][]Task
}

// Queue is what the configuration says of the queue that a job was handed in to.
type Queue struct {
	// Name is the name of the route, Service the workers that run its tasks.
	Name    string
	Service string
	// Priority 0 goes first; Attempts is how many failed runs of a task fail the job.
	Priority int
	Attempts int
	// Stretch times the longest chain plus Target is the objective of a job.
	Stretch float64
	Target  time.Duration
	// Advised says that the service of the queue's policy names the workers of each step.
	Advised bool
}

// New returns a job that was accepted at a time and of which nothing has begun.
func New(id ID, spec Spec, queue Queue, accepted time.Time) *Job {
	j := &Job{id: id, spec: spec, queue: queue, accepted: accepted}
	j.tasks = make([][][]Task, max(spec.Iterations, 1))
	for k := range j.tasks {
		j.tasks[k] = make([][]Task, len(spec.Steps))
		for n, step := range spec.Steps {
			j.tasks[k][n] = make([]Task, step.Count)
			j.open += step.Count
		}
	}
	return j
}

// ID returns the name of the job.
func (j *Job) ID() ID { return j.id }

// Spec returns the job as it was handed in.
func (j *Job) Spec() *Spec { return &j.spec }

// Queue returns the queue as it was when the job was accepted.
func (j *Job) Queue() Queue { return j.queue }

// Accepted returns when the job was accepted, by the clock of the entry that did.
func (j *Job) Accepted() time.Time { return j.accepted }

// Iterations returns how many times the steps run.
func (j *Job) Iterations() int { return len(j.tasks) }

// Task returns a task of the job, nil if it has no such task.
func (j *Job) Task(t TaskID) *Task {
	if t.Job != j.id || t.Iteration < 0 || t.Iteration >= len(j.tasks) || t.Step < 0 || t.Step >= len(j.tasks[t.Iteration]) ||
		t.Index < 0 || t.Index >= len(j.tasks[t.Iteration][t.Step]) {
		return nil
	}
	return &j.tasks[t.Iteration][t.Step][t.Index]
}

// Tasks returns the tasks of a step of one time; they are not to be changed.
func (j *Job) Tasks(time, step int) []Task { return j.tasks[time][step] }

// State returns what callers are told.
func (j *Job) State() State {
	switch {
	case j.failed:
		return Failed
	case j.canceled:
		return Canceled
	case j.open == 0:
		return Completed
	case j.begun:
		return Running
	}
	return Queued
}

// Due returns when a time of the job may begin.
func (j *Job) Due(k int) time.Time {
	if j.spec.Iterations == 0 {
		return j.accepted
	}
	return j.spec.Start.Add(time.Duration(k) * j.spec.Interval)
}

// DependenciesDone reports whether the steps before a step are done, so that its tasks may start once its time is due.
func (j *Job) DependenciesDone(k, step int) bool {
	for _, d := range j.spec.Steps[step].DependsOn {
		if !j.stepDone(k, d) {
			return false
		}
	}
	return true
}

// stepDone reports whether all tasks of a step are done.
func (j *Job) stepDone(k, step int) bool {
	for i := range j.tasks[k][step] {
		if j.tasks[k][step][i].phase != Done {
			return false
		}
	}
	return true
}

// Objective returns how long a time of the job may take to earn its whole worth, by its estimates.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.queue.Stretch*float64(j.spec.CriticalPath())) + j.queue.Target
}

// RemainingTime returns the longest time that what is not done of time k needs in order, by its estimates.
func (j *Job) RemainingTime(k int) time.Duration {
	return j.spec.longest(func(step int) time.Duration {
		if j.stepDone(k, step) {
			return 0
		}
		return j.spec.Steps[step].Estimate
	})
}

// RemainingWork returns what is not done of time k, in core seconds by its estimates.
func (j *Job) RemainingWork(k int) float64 {
	const thousandths = 1000
	total := 0.0
	for n, step := range j.spec.Steps {
		for i := range j.tasks[k][n] {
			if j.tasks[k][n][i].phase != Done {
				total += step.Estimate.Seconds() * float64(step.Size.CPU) / thousandths
			}
		}
	}
	return total
}
