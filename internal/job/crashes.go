package job

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
)

// Unit returns the task that failures, crashes and losses are counted for: the first member of a gang, since all its members end together,
// else the task itself.
func (j *Job) Unit(t TaskID) TaskID {
	if j.spec.Steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

// RecordCrash adds the attribution of a worker crash to the task of a run, once for each run, and reports whether anything changed.
// The count is stored with the job: a count in the memory of one leader would let a task that crashes workers start over with each new
// leader.
func (j *Job) RecordCrash(t TaskID, run int, finding crash.Finding) bool {
	task := j.Task(t)
	if task == nil || j.State().IsFinal() || task.phase == Done || run > task.run || finding.Attribution() == crash.NotCause {
		return false
	}
	unit := j.Task(j.Unit(t))
	if run <= unit.crashRun {
		return false
	}
	unit.crashRun = run
	unit.history = unit.history.After(finding)
	if unit.history.GivesUp(finding) {
		j.failed = true
	}
	return true
}

// RecordLoss counts a run that was lost with its worker and reports whether it was counted. The count is stored in the same record
// that returns the task to waiting, so no later run can be committed without it.
func (j *Job) RecordLoss(t TaskID, run int, loss crash.Loss) bool {
	task := j.Task(t)
	if task == nil || j.State().IsFinal() || task.phase != Placed || run != task.run {
		return false
	}
	unit := j.Task(j.Unit(t))
	if run <= unit.lostRun {
		return false
	}
	unit.lostRun = run
	if !loss.Crashed() {
		unit.unresolved = append(unit.unresolved, run)
	}
	j.setLosses(unit, unit.history.Losses().Add(loss))
	return true
}

// ResolveLoss records whether the unreachable worker of a lost run has crashed, and reports whether anything changed.
func (j *Job) ResolveLoss(t TaskID, run int, crashed bool) bool {
	task := j.Task(t)
	if task == nil || j.State().IsFinal() || task.phase == Done {
		return false
	}
	unit := j.Task(j.Unit(t))
	index := slices.Index(unit.unresolved, run)
	if index < 0 {
		return false
	}
	unit.unresolved = slices.Delete(unit.unresolved, index, index+1)
	j.setLosses(unit, unit.history.Losses().Resolve(crashed))
	return true
}

// setLosses replaces the losses of a task, and fails the job if they are exhausted.
func (j *Job) setLosses(unit *Task, losses crash.Losses) {
	unit.history = unit.history.WithLosses(losses)
	j.failed = j.failed || losses.Exhausted()
}

// RecordRunAge records that a run has reached an age, and reports whether that cleared part of its task's crash history.
func (j *Job) RecordRunAge(t TaskID, run int, age time.Duration) bool {
	task := j.Task(t)
	if task == nil || task.run != run || task.phase != Placed {
		return false
	}
	unit := j.Task(j.Unit(t))
	before := unit.history
	unit.history = before.Survived(age)
	if unit.history.Losses() == (crash.Losses{}) {
		unit.unresolved = nil
	}
	return unit.history != before
}

// CrashHistory returns the crash history of a task.
func (j *Job) CrashHistory(t TaskID) crash.History { return j.Task(j.Unit(t)).history }

// LastCrashCounted reports whether the latest counted crash of a task was that of this run.
func (j *Job) LastCrashCounted(t TaskID, run int) bool { return run == j.Task(j.Unit(t)).crashRun }
