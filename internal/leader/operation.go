package leader

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// operation is a change that waits for the next commit.
//
// Apply may be called several times, each on a fresh copy of the document, and reports whether it changed it.
type operation struct {
	apply  func(d *cell.Document) (bool, error)
	after  func()
	urgent bool
	result chan error

	changed bool
	err     error
}

func newOperation(apply func(d *cell.Document) (bool, error)) *operation {
	return &operation{apply: apply, after: func() {}, result: make(chan error, 1)}
}

// enqueue hands an operation to the next commit.
func (l *Leader) enqueue(o *operation) {
	l.mu.Lock()
	l.pending = append(l.pending, o)
	l.urgent = l.urgent || o.urgent
	l.mu.Unlock()
	l.signal()
}

// failPending answers the operations that no commit will take.
func (l *Leader) failPending() {
	l.mu.Lock()
	left := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, o := range left {
		o.result <- fault.New(fault.Stale, "this process is no longer the lead of %s", l.Cell)
	}
}

// reportOperation is the end of a run as an operation.
func (l *Leader) reportOperation(r control.Report) *operation {
	run, state := r.Run.Decode(), task.ParseState(r.State)
	ran := time.Duration(r.RuntimeMillis) * time.Millisecond
	var before cell.Task
	var jobEnded bool
	o := newOperation(func(d *cell.Document) (bool, error) {
		before, _ = d.Task(run.ID())
		_, wasOpen := d.Job(run.ID().Job())
		news := d.Report(cell.NewReport(run, state, r.Checkpoint), l.attemptsOf(before))
		j, _ := d.Job(run.ID().Job())
		jobEnded = news && wasOpen && j.State().IsFinal()
		return news, nil
	})
	o.after = func() {
		l.mu.Lock()
		failures := before.Failures()
		if state == task.Failed {
			failures++
		}
		l.ended(before.Instance(), before.Workload(), run, state, ran, failures)
		l.mu.Unlock()
		l.recordEnd(run, before, state, jobEnded)
	}
	return o
}

// attemptsOf is how often a task may fail; a replica may for ever.
func (l *Leader) attemptsOf(t cell.Task) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.table.Row(t.Workload())
	if !ok || t.IsService() {
		return 0
	}
	return r.Attempts()
}

// endKinds are the events of runs that end.
var endKinds = map[task.State]timeline.Kind{
	task.Finished:     timeline.TaskFinished,
	task.Failed:       timeline.TaskFailed,
	task.Checkpointed: timeline.TaskEvicted,
	task.Stopped:      timeline.TaskStopped,
	task.Refused:      timeline.TaskRefused,
}

// EndKind returns the event of a run that ends in a state.
func EndKind(state task.State) timeline.Kind { return endKinds[state] }

func (l *Leader) recordEnd(run task.Run, before cell.Task, state task.State, jobEnded bool) {
	subject := timeline.Subject{Task: run.ID().String(), Worker: before.Instance()}
	l.Recorder.Record(EndKind(state), subject, "the end of the run is committed")
	if jobEnded {
		l.Recorder.Record(timeline.JobFinished, timeline.Subject{Task: run.ID().Job()}, "the job has ended")
	}
}
