package job

// Place assigns a waiting task to a worker and returns the number of the new run; run 0 selects the next number.
func (j *Job) Place(t TaskID, host Host, run int) int {
	task := j.Task(t)
	if run == 0 {
		run = task.run + 1
	}
	task.phase = Placed
	task.run = run
	task.host = host
	j.everPlaced = true
	return run
}

// Rehost records another host for a placed run and reports whether the run was placed.
func (j *Job) Rehost(t TaskID, run int, host Host) bool {
	task := j.Task(t)
	if task == nil || task.phase != Placed || task.run != run {
		return false
	}
	task.host = host
	return true
}

// NextGangRun returns a run number higher than every run of the step's tasks.
func (j *Job) NextGangRun(iteration, step int) int {
	run := 0
	for i := range j.tasks[iteration][step] {
		run = max(run, j.tasks[iteration][step][i].run)
	}
	return run + 1
}

// Unplace withdraws a run that is known never to have started; its number is not used again.
func (j *Job) Unplace(t TaskID, run int) bool {
	task := j.Task(t)
	if task == nil || task.phase != Placed || task.run != run {
		return false
	}
	task.phase = Waiting
	return true
}

// RecordStarted records that a placed run has started.
func (j *Job) RecordStarted(t TaskID, run int) {
	if task := j.Task(t); task != nil && task.phase == Placed && task.run == run {
		j.begun = true
	}
}

// RecordEnd records the end of a run and reports whether anything changed.
func (j *Job) RecordEnd(t TaskID, run int, end End, checkpoint string) bool {
	task := j.Task(t)
	if task == nil || task.run != run || task.phase == Done {
		return false
	}
	step := &j.spec.Steps[t.Step]
	if task.phase == Waiting && (end != EndDone || step.LongRunning) {
		return false
	}
	if checkpoint != "" {
		task.checkpoint = checkpoint
	}
	// A run that was lost with its worker may not have started.
	j.begun = j.begun || end != EndLapsed
	switch {
	case step.LongRunning:
		task.phase = Waiting
	case end == EndDone:
		j.markDone(t, step)
	case end == EndFailed:
		task.phase = Waiting
		j.countFailure(t, run)
	default:
		task.phase = Waiting
	}
	return true
}

// markDone marks the task as done; one completed member completes the whole gang.
func (j *Job) markDone(t TaskID, step *Step) {
	tasks := j.tasks[t.Iteration][t.Step]
	for i := range tasks {
		if (step.Gang || i == t.Index) && tasks[i].phase != Done {
			tasks[i].phase = Done
			j.unfinished--
		}
	}
}

// countFailure counts a failed run; a gang's run counts once, however many of its members fail in it.
func (j *Job) countFailure(t TaskID, run int) {
	counted := j.Task(j.Unit(t))
	if run <= counted.failedRun {
		return
	}
	counted.failedRun = run
	counted.failures++
	if counted.failures >= j.attempts() {
		j.failed = true
	}
}

// attempts returns the number of failed runs of one task, or of one gang, that fails the job.
func (j *Job) attempts() int { return max(j.queue.Attempts, 1) }

// Failures returns the number of failed runs of a task, or of the gang that it is a member of.
func (j *Job) Failures(t TaskID) int { return j.Task(j.Unit(t)).failures }

// OnLastAttempt reports whether another failure of a task, or of its gang, fails the job; it never does for long-running tasks.
func (j *Job) OnLastAttempt(t TaskID) bool {
	return j.Task(t) != nil && !j.spec.Steps[t.Step].LongRunning && j.Failures(t) >= j.attempts()-1
}

// RecordCheckpoint records a checkpoint of a running task and reports whether it is new.
func (j *Job) RecordCheckpoint(t TaskID, run int, checkpoint string) bool {
	task := j.Task(t)
	if task == nil || task.phase != Placed || task.run != run || checkpoint == "" || task.checkpoint == checkpoint {
		return false
	}
	task.checkpoint = checkpoint
	return true
}

// GangCheckpoint returns the checkpoint from which all members of a gang resume, or an empty string if there is none.
func (j *Job) GangCheckpoint(iteration, step int) string {
	latest := ""
	for i := range j.tasks[iteration][step] {
		latest = max(latest, j.tasks[iteration][step][i].checkpoint)
	}
	return latest
}

// Cancel cancels the job unless it has ended, and reports whether it did.
func (j *Job) Cancel() bool {
	if j.State().IsFinal() {
		return false
	}
	j.canceled = true
	return true
}

// Each calls visit for every task of the job.
func (j *Job) Each(visit func(TaskID, *Task)) {
	for iteration := range j.tasks {
		for step := range j.tasks[iteration] {
			for i := range j.tasks[iteration][step] {
				visit(TaskID{Job: j.id, Iteration: iteration, Step: step, Index: i}, &j.tasks[iteration][step][i])
			}
		}
	}
}
