package cell

import (
	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// TakeOver makes an agent the lead of a new epoch.
func (d *Document) TakeOver(lead string) {
	d.epoch++
	d.lead = lead
}

// Submit adds a job; a job that is there already, or has ended, stays as it is.
func (d *Document) Submit(job Job) {
	if _, ok := d.Job(job.id); ok {
		return
	}
	d.jobs[job.id] = &job
}

// Cancel ends a job: its waiting tasks are dropped, its placed ones stop and are dropped when they have.
func (d *Document) Cancel(id string) error {
	j, ok := d.jobs[id]
	if !ok {
		if ended, found := d.Job(id); found && ended.canceled {
			return nil
		}
		return fault.New(fault.NotFound, "there is no job %s that has not ended", id)
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
// The task must wait and its job must not be canceled, else the error is a Conflict.
func (d *Document) Assign(id task.ID, instance string, size resource.Vector) (task.Run, error) {
	t, ok := d.tasks[id]
	if !ok {
		created, err := d.materialize(id)
		if err != nil {
			return task.Run{}, err
		}
		t = created
	}
	if t.IsPlaced() || d.isUnwanted(*t) {
		return task.Run{}, fault.New(fault.Conflict, "task %s does not wait", id)
	}
	d.starts++
	t.incarnation = d.starts
	t.instance = instance
	t.size = size
	return t.Run(), nil
}

func (d *Document) materialize(id task.ID) (*Task, error) {
	j, ok := d.jobs[id.Job()]
	if !ok || j.canceled || id.Index() != j.next || j.next >= j.tasks {
		return nil, fault.New(fault.Conflict, "task %s does not wait", id)
	}
	j.next++
	t := &Task{id: id, workload: j.workload}
	d.tasks[id] = t
	return t, nil
}

// Report is what an agent says of a run that has ended.
type Report struct {
	run        task.Run
	state      task.State
	checkpoint string
}

// NewReport returns a report of a run that is in a final state.
func NewReport(run task.Run, state task.State, checkpoint string) Report {
	return Report{run: run, state: state, checkpoint: checkpoint}
}

// Run returns the run.
func (r Report) Run() task.Run { return r.run }

// State returns the final state of the run.
func (r Report) State() task.State { return r.state }

// Checkpoint returns the reference to resume from, empty for none.
func (r Report) Checkpoint() string { return r.checkpoint }

// Report takes note that a run has ended, and says whether that was news; a repeated or late report changes nothing.
//
// A task that fails attempts times is given up; with attempts of 0 or less it never is.
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
		d.replicaEnded(t)
		return true
	}
	d.batchEnded(t, r.state, attempts)
	return true
}

func (d *Document) replicaEnded(t *Task) {
	if t.retired {
		delete(d.tasks, t.id)
	}
}

func (d *Document) batchEnded(t *Task, state task.State, attempts int) {
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
		// The task got on, and its VM outlived it.
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
	d.ended = append(d.ended, *j)
	if len(d.ended) > EndedLimit {
		d.ended = d.ended[len(d.ended)-EndedLimit:]
	}
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

// GivenUp reports whether the task does not start again.
func (l LostRun) GivenUp() bool { return l.givenUp }

// LoseInstance takes note that a VM instance is gone for good: what it ran waits again, from the last checkpoint. A batch task of which run after
// run is lost so is given up, or it would take along one VM after the other for ever.
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

// countLoss counts a lost run of a batch task, and reports whether the task is given up for it.
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

// Scale gives a service a number of replicas in the cell; those above it retire.
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

// Replicas returns how many replicas of a service do not retire.
func (d *Document) Replicas(workload string) int {
	count := 0
	for _, t := range d.tasks {
		if t.service && t.workload == workload && !t.retired {
			count++
		}
	}
	return count
}
