package job

// Place gives a waiting task to a worker and returns the number of its new run; run 0 asks for the next one.
func (j *Job) Place(t TaskID, host Host, run int) int {
	task := j.Task(t)
	if run == 0 {
		run = task.run + 1
	}
	task.phase = Placed
	task.run = run
	task.host = host
	j.begun = true
	return run
}

// Rehost records that a run that was placed on one host is on another now, and reports whether it did.
func (j *Job) Rehost(t TaskID, run int, host Host) bool {
	task := j.Task(t)
	if task == nil || task.phase != Placed || task.run != run {
		return false
	}
	task.host = host
	return true
}

// NextGangRun returns a run number above all runs of a step's tasks.
func (j *Job) NextGangRun(k, step int) int {
	run := 0
	for i := range j.tasks[k][step] {
		run = max(run, j.tasks[k][step][i].run)
	}
	return run + 1
}

// Unplace takes back a run that surely never started; its number is not used again.
func (j *Job) Unplace(t TaskID, run int) bool {
	task := j.Task(t)
	if task == nil || task.phase != Placed || task.run != run {
		return false
	}
	task.phase = Waiting
	return true
}

// RecordEnd takes note of the end of a run and reports whether anything changed.
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
	switch {
	case step.LongRunning:
		task.phase = Waiting
	case end == EndDone:
		j.finish(t, step)
	case end == EndFailed:
		task.phase = Waiting
		j.fail(t, step)
	default:
		task.phase = Waiting
	}
	return true
}

// finish marks the task as done, and all of a gang by one end.
func (j *Job) finish(t TaskID, step *Step) {
	tasks := j.tasks[t.Iteration][t.Step]
	for i := range tasks {
		if (step.Gang || i == t.Index) && tasks[i].phase != Done {
			tasks[i].phase = Done
			j.open--
		}
	}
}

// fail counts the failure, for a gang as that of all its members.
func (j *Job) fail(t TaskID, step *Step) {
	counted := &j.tasks[t.Iteration][t.Step][t.Index]
	if step.Gang {
		counted = &j.tasks[t.Iteration][t.Step][0]
	}
	counted.failures++
	if counted.failures >= max(j.queue.Attempts, 1) {
		j.failed = true
	}
}

// RecordCheckpoint takes note of a checkpoint of a running task and reports whether it is new.
func (j *Job) RecordCheckpoint(t TaskID, run int, checkpoint string) bool {
	task := j.Task(t)
	if task == nil || task.phase != Placed || task.run != run || checkpoint == "" || task.checkpoint == checkpoint {
		return false
	}
	task.checkpoint = checkpoint
	return true
}

// GangCheckpoint returns the checkpoint from which all members of a gang go on, empty for none.
func (j *Job) GangCheckpoint(k, step int) string {
	best := ""
	for i := range j.tasks[k][step] {
		best = max(best, j.tasks[k][step][i].checkpoint)
	}
	return best
}

// Cancel ends the job unless it has ended and reports whether it did.
func (j *Job) Cancel() bool {
	if j.State().IsFinal() {
		return false
	}
	j.canceled = true
	return true
}

// Each calls visit with every task of the job.
func (j *Job) Each(visit func(TaskID, *Task)) {
	for k := range j.tasks {
		for n := range j.tasks[k] {
			for i := range j.tasks[k][n] {
				visit(TaskID{Job: j.id, Iteration: k, Step: n, Index: i}, &j.tasks[k][n][i])
			}
		}
	}
}
