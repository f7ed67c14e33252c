package job

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
)

// CrashUnit returns the task by which crashes are counted: the first one of a gang, whose members share all ends, else the task.
func (j *Job) CrashUnit(t TaskID) TaskID {
	if j.spec.Steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

// RecordCrash takes note of what the crash of a worker says of a run that it had, and reports whether anything changed. It is
// counted once for each run, and with the job, so that each next lead knows it: a count that one process keeps lets work that
// crashes its workers start anew with each lead.
func (j *Job) RecordCrash(t TaskID, run int, f crash.Finding) bool {
	task := j.Task(t)
	if task == nil || j.State().IsFinal() || task.phase == Done || run > task.run || f.Attribution() == crash.NotCause {
		return false
	}
	unit := j.Task(j.CrashUnit(t))
	if run <= unit.judged {
		return false
	}
	unit.judged = run
	unit.suspicion = unit.suspicion.After(f)
	if unit.suspicion.GivesUp(f) {
		j.failed = true
	}
	return true
}

// RecordLoss takes note that a run was lost with its worker, and reports whether that was counted. The count is stored with the record that lets the task wait again: no later run can be committed without it.
func (j *Job) RecordLoss(t TaskID, run int, l crash.Loss) bool {
	task := j.Task(t)
	if task == nil || j.State().IsFinal() || task.phase != Placed || run != task.run {
		return false
	}
	unit := j.Task(j.CrashUnit(t))
	if run <= unit.lost {
		return false
	}
	unit.lost = run
	if !l.Crashed() {
		unit.unseen = append(unit.unseen, run)
	}
	j.setLosses(unit, unit.suspicion.Losses().Add(l))
	return true
}

// ResolveLoss takes note of whether a worker that was lost sight of under a run has crashed, and reports whether anything changed.
func (j *Job) ResolveLoss(t TaskID, run int, crashed bool) bool {
	task := j.Task(t)
	if task == nil || j.State().IsFinal() || task.phase == Done {
		return false
	}
	unit := j.Task(j.CrashUnit(t))
	at := slices.Index(unit.unseen, run)
	if at < 0 {
		return false
	}
	unit.unseen = slices.Delete(unit.unseen, at, at+1)
	j.setLosses(unit, unit.suspicion.Losses().Resolve(crashed))
	return true
}

// setLosses changes the losses of a task, and gives the job up where they are spent.
func (j *Job) setLosses(unit *Task, l crash.Losses) {
	unit.suspicion = unit.suspicion.WithLosses(l)
	j.failed = j.failed || l.Exhausted()
}

// RecordRunAge takes note that a run was seen to live for a time, and reports whether less is held against its task now.
func (j *Job) RecordRunAge(t TaskID, run int, age time.Duration) bool {
	task := j.Task(t)
	if task == nil || task.run != run || task.phase != Placed {
		return false
	}
	unit := j.Task(j.CrashUnit(t))
	before := unit.suspicion
	unit.suspicion = before.Survived(age)
	if unit.suspicion.Losses() == (crash.Losses{}) {
		unit.unseen = nil
	}
	return unit.suspicion != before
}

// Suspicion returns what is held against a task for crashes of workers.
func (j *Job) Suspicion(t TaskID) crash.History { return j.Task(j.CrashUnit(t)).suspicion }

// LastCrashCounted reports whether the latest crash that was counted was under this run of a task.
func (j *Job) LastCrashCounted(t TaskID, run int) bool { return run == j.Task(j.CrashUnit(t)).judged }
