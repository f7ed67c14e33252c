package cell

import (
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// TakeOver makes an agent the leader of a new epoch.
func (d *Document) TakeOver(agent string) {
	d.epoch++
	d.leader = agent
}

// Submit adds a job unless the document has it already, ended or not.
func (d *Document) Submit(job Job) {
	if _, ok := d.Job(job.id); ok {
		return
	}
	d.jobs[job.id] = &job
}

// Cancel cancels a job: its waiting tasks are removed, its placed tasks stop and are removed once they have stopped.
func (d *Document) Cancel(id string) error {
	j, ok := d.jobs[id]
	if !ok {
		if ended, found := d.Job(id); found && ended.canceled {
			return nil
		}
		return fault.New(fault.NotFound, "there is no unfinished job %s", id)
	}
	j.canceled = true
	for taskID, t := range d.tasks {
		if taskID.Job() == id && !t.service && !t.IsPlaced() {
			delete(d.tasks, taskID)
		}
	}
	d.endIfDone(j)
	return nil
}

// Assign places a waiting task on a VM instance with a size and returns the new run.
//
// It returns an error of kind Conflict unless the task waits and its job is not canceled.
func (d *Document) Assign(id task.ID, instance string, size resource.Vector) (task.Run, error) {
	t, ok := d.tasks[id]
	if !ok {
		created, err := d.createTask(id)
		if err != nil {
			return task.Run{}, err
		}
		t = created
	}
	if t.IsPlaced() || d.isUnwanted(*t) {
		return task.Run{}, fault.New(fault.Conflict, "task %s is not waiting", id)
	}
	d.lastIncarnation++
	t.incarnation = d.lastIncarnation
	t.instance = instance
	t.size = size
	return t.Run(), nil
}

func (d *Document) createTask(id task.ID) (*Task, error) {
	j, ok := d.jobs[id.Job()]
	if !ok || j.canceled || id.Index() != j.nextIndex || j.nextIndex >= j.tasks {
		return nil, fault.New(fault.Conflict, "task %s is not waiting", id)
	}
	j.nextIndex++
	t := &Task{id: id, workload: j.workload}
	d.tasks[id] = t
	return t, nil
}

// Report is an agent's report of an ended run.
type Report struct {
	run        task.Run
	state      task.State
	checkpoint string
}

// NewReport returns a report of a run in a final state.
func NewReport(run task.Run, state task.State, checkpoint string) Report {
	return Report{run: run, state: state, checkpoint: checkpoint}
}

// Run returns the run.
func (r Report) Run() task.Run { return r.run }

// State returns the final state of the run.
func (r Report) State() task.State { return r.state }

// Checkpoint returns the reference to resume from, empty for none.
func (r Report) Checkpoint() string { return r.checkpoint }

// Report records the end of a run and reports whether that changed the document; a repeated or late report does not.
//
// A task is given up after the given number of failed attempts; if that is 0 or less, it is never given up.
func (d *Document) Report(r Report, attempts int) bool {
	t, ok := d.tasks[r.run.ID()]
	if !ok || t.incarnation != r.run.Incarnation() || !t.IsPlaced() || !r.state.IsFinal() {
		return false
	}
	t.instance = ""
	if r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
	if t.service {
		d.endReplica(t)
		return true
	}
	d.endBatchTask(t, r.state, attempts)
	return true
}

func (d *Document) endReplica(t *Task) {
	if t.retired {
		delete(d.tasks, t.id)
	}
}

func (d *Document) endBatchTask(t *Task, state task.State, attempts int) {
	j, ok := d.jobs[t.id.Job()]
	if !ok {
		delete(d.tasks, t.id)
		return
	}
	switch state {
	case task.Finished:
		j.finished++
		delete(d.tasks, t.id)
	case task.Failed:
		t.failures++
		if attempts > 0 && t.failures >= attempts {
			j.failed++
			delete(d.tasks, t.id)
		}
	case task.Checkpointed:
		t.evictions++
		j.evictions++
		// The task made progress, and its VM survived the run.
		t.losses = crash.Losses{}
	}
	if j.canceled {
		delete(d.tasks, t.id)
	}
	d.endIfDone(j)
}

func (d *Document) endIfDone(j *Job) {
	if !j.State().IsFinal() || d.hasTasks(j.id) {
		return
	}
	delete(d.jobs, j.id)
	d.endedJobs = append(d.endedJobs, *j)
	if len(d.endedJobs) > EndedLimit {
		d.forgetEnded()
	}
}

// forgetEnded drops the earlier submitted one of the first two ended jobs, so that no dropped job was submitted after the first kept one.
func (d *Document) forgetEnded() {
	dropped := 0
	if d.endedJobs[0].id > d.endedJobs[1].id {
		dropped = 1
	}
	d.endedJobs = slices.Delete(slices.Clone(d.endedJobs), dropped, dropped+1)
}

func (d *Document) hasTasks(job string) bool {
	for id, t := range d.tasks {
		if id.Job() == job && !t.service {
			return true
		}
	}
	return false
}

// LostRun is a run that was lost with its VM.
type LostRun struct {
	run     task.Run
	givenUp bool
}

// Run returns the run.
func (l LostRun) Run() task.Run { return l.run }

// GivenUp reports whether the task was given up and is not started again.
func (l LostRun) GivenUp() bool { return l.givenUp }

// LoseInstance records that a VM instance is permanently gone: its tasks wait again, to resume from their latest checkpoints. A batch task
// that loses too many runs in a row this way is given up, since it may be the cause and would take down one VM after another forever.
func (d *Document) LoseInstance(instance string) []LostRun {
	var lost []LostRun
	for _, t := range d.Tasks() {
		if t.instance != instance {
			continue
		}
		d.Report(NewReport(t.Run(), task.Stopped, ""), 0)
		lost = append(lost, LostRun{run: t.Run(), givenUp: d.countLoss(t.id)})
	}
	return lost
}

// countLoss counts a lost run of a batch task and reports whether the task is given up because of it.
func (d *Document) countLoss(id task.ID) bool {
	t, ok := d.tasks[id]
	if !ok || t.service {
		return false
	}
	t.losses = t.losses.Add(crash.UnreportedLoss())
	j, ok := d.jobs[id.Job()]
	if !ok || !t.losses.Exhausted() {
		return false
	}
	j.failed++
	delete(d.tasks, id)
	d.endIfDone(j)
	return true
}

// Scale sets the number of replicas of a service in the cell; replicas beyond it retire.
func (d *Document) Scale(workload string, replicas int) {
	for i := range replicas {
		id := task.NewID(workload, i)
		if t, ok := d.tasks[id]; ok {
			t.retired = false
			continue
		}
		d.tasks[id] = &Task{id: id, workload: workload, service: true}
	}
	for id, t := range d.tasks {
		if !t.service || t.workload != workload || id.Index() < replicas {
			continue
		}
		t.retired = true
		if !t.IsPlaced() {
			delete(d.tasks, id)
		}
	}
}

// Replicas returns the number of replicas of a service that are not retired.
func (d *Document) Replicas(workload string) int {
	count := 0
	for _, t := range d.tasks {
		if t.service && t.workload == workload && !t.retired {
			count++
		}
	}
	return count
}
