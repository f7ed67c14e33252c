package job

import "time"

// Job is an accepted job with its progress.
type Job struct {
	id       ID
	spec     Spec
	queue    Queue
	accepted time.Time
	canceled bool
	failed   bool
	// everPlaced is set once any task was placed, begun once a run is known to have started; unfinished counts the tasks that are not done.
	everPlaced bool
	begun      bool
	unfinished int
	// tasks is indexed by iteration, step and index in the step.
	tasks [][][]Task
	// storedHosts are the states of hosts in the progress that the job was restored from.
	storedHosts map[Host]HostState
}

// Queue is the configuration of the queue that a job was submitted to.
type Queue struct {
	// Name is the name of the route; Service is the service whose workers run its tasks.
	Name    string
	Service string
	// Priority 0 is scheduled first; Attempts is the number of failed runs of one task that fails the job.
	Priority int
	Attempts int
	// The objective of a job is Stretch times its critical path plus Target.
	Stretch float64
	Target  time.Duration
	// Advised is set if the advisory service of the queue's policy selects the workers of each step.
	Advised bool
}

// New returns an accepted job of which no task was placed yet.
func New(id ID, spec Spec, queue Queue, accepted time.Time) *Job {
	j := &Job{id: id, spec: spec, queue: queue, accepted: accepted}
	j.tasks = make([][][]Task, max(spec.Iterations, 1))
	for iteration := range j.tasks {
		j.tasks[iteration] = make([][]Task, len(spec.Steps))
		for n, step := range spec.Steps {
			j.tasks[iteration][n] = make([]Task, step.Count)
			j.unfinished += step.Count
		}
	}
	return j
}

// ID returns the identifier of the job.
func (j *Job) ID() ID { return j.id }

// Spec returns the job as it was submitted.
func (j *Job) Spec() *Spec { return &j.spec }

// Queue returns the configuration of the queue at the time the job was accepted.
func (j *Job) Queue() Queue { return j.queue }

// Accepted returns the time of acceptance by the clock of the entry that accepted the job.
func (j *Job) Accepted() time.Time { return j.accepted }

// Iterations returns how many times the steps run, at least 1.
func (j *Job) Iterations() int { return len(j.tasks) }

// Task returns a task of the job, or nil if the job has no such task.
func (j *Job) Task(t TaskID) *Task {
	if t.Job != j.id || t.Iteration < 0 || t.Iteration >= len(j.tasks) || t.Step < 0 || t.Step >= len(j.tasks[t.Iteration]) ||
		t.Index < 0 || t.Index >= len(j.tasks[t.Iteration][t.Step]) {
		return nil
	}
	return &j.tasks[t.Iteration][t.Step][t.Index]
}

// Tasks returns the tasks of a step in one iteration; the caller must not change them.
func (j *Job) Tasks(time, step int) []Task { return j.tasks[time][step] }

// State returns the state of the job as callers see it.
func (j *Job) State() State {
	switch {
	case j.failed:
		return Failed
	case j.canceled:
		return Canceled
	case j.unfinished == 0:
		return Completed
	case j.everPlaced:
		return Running
	}
	return Queued
}

// Begun reports whether a run of the job is known to have started; one that is only placed may yet be refused.
func (j *Job) Begun() bool { return j.begun }

// Due returns when an iteration of the job may begin.
func (j *Job) Due(iteration int) time.Time {
	if j.spec.Iterations == 0 {
		return j.accepted
	}
	return j.spec.Start.Add(time.Duration(iteration) * j.spec.Interval)
}

// DependenciesDone reports whether all steps that a step depends on are done, so that its tasks may start once the iteration is due.
func (j *Job) DependenciesDone(iteration, step int) bool {
	for _, d := range j.spec.Steps[step].DependsOn {
		if !j.stepDone(iteration, d) {
			return false
		}
	}
	return true
}

// stepDone reports whether all tasks of a step are done.
func (j *Job) stepDone(iteration, step int) bool {
	for i := range j.tasks[iteration][step] {
		if j.tasks[iteration][step][i].phase != Done {
			return false
		}
	}
	return true
}

// Objective returns the duration within which an iteration must complete to earn its full value, by the job's estimates.
func (j *Job) Objective() time.Duration { return j.ObjectiveBy(j.spec.Estimate) }

// ObjectiveBy returns the objective for the given durations of the steps.
func (j *Job) ObjectiveBy(duration func(step int) time.Duration) time.Duration {
	return time.Duration(j.queue.Stretch*float64(j.spec.longest(duration))) + j.queue.Target
}

// RemainingTime returns the length of the critical path through the unfinished steps of an iteration, for the given durations of the
// steps.
func (j *Job) RemainingTime(iteration int, duration func(step int) time.Duration) time.Duration {
	return j.spec.longest(func(step int) time.Duration {
		if j.stepDone(iteration, step) {
			return 0
		}
		return duration(step)
	})
}

// RemainingWork returns the work of the unfinished tasks of an iteration in core seconds, for the given durations of the steps.
func (j *Job) RemainingWork(iteration int, duration func(step int) time.Duration) float64 {
	const millicoresPerCore = 1000
	total := 0.0
	for n, step := range j.spec.Steps {
		seconds := duration(n).Seconds()
		for i := range j.tasks[iteration][n] {
			if j.tasks[iteration][n][i].phase != Done {
				total += seconds * float64(step.Size.CPU) / millicoresPerCore
			}
		}
	}
	return total
}
