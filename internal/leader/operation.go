package leader

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// operation is a change that is pending for the next commit.
//
// Apply reports whether it changed the document; it may be called several times, each on a new copy.
type operation struct {
	apply    func(d *cell.Document) (bool, error)
	onCommit func()
	urgent   bool
	result   chan error

	changed bool
	err     error
}

func newOperation(apply func(d *cell.Document) (bool, error)) *operation {
	return &operation{apply: apply, onCommit: func() {}, result: make(chan error, 1)}
}

// enqueue adds an operation to the next commit.
func (l *Leader) enqueue(o *operation) {
	l.mu.Lock()
	l.pending = append(l.pending, o)
	l.urgent = l.urgent || o.urgent
	l.mu.Unlock()
	l.notify()
}

// failPending fails the operations that will not be committed.
func (l *Leader) failPending() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	for _, o := range pending {
		o.result <- fault.New(fault.Stale, "this process is no longer the leader of %s", l.Cell)
	}
}

// reportOperation returns the operation that commits the reported end of a run.
func (l *Leader) reportOperation(report control.Report) *operation {
	run, state := report.Run.Decode(), task.ParseState(report.State)
	runtime := time.Duration(report.RuntimeMillis) * time.Millisecond
	var before cell.Task
	var jobEnded bool
	o := newOperation(func(d *cell.Document) (bool, error) {
		before, _ = d.Task(run.ID())
		_, wasUnfinished := d.Job(run.ID().Job())
		changed := d.Report(cell.NewReport(run, state, report.Checkpoint), l.attemptsOf(before))
		j, _ := d.Job(run.ID().Job())
		jobEnded = changed && wasUnfinished && j.State().IsFinal()
		return changed, nil
	})
	o.onCommit = func() {
		l.mu.Lock()
		failures := before.Failures()
		if state == task.Failed {
			failures++
		}
		l.runEnded(before.Instance(), before.Workload(), run, state, runtime, failures)
		l.mu.Unlock()
		l.recordEnd(run, before, state, jobEnded)
	}
	return o
}

// attemptsOf returns how often a task may fail, 0 for no limit, as for replicas and for workloads missing from the table.
func (l *Leader) attemptsOf(t cell.Task) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.table.Row(t.Workload())
	if !ok || t.IsService() {
		return 0
	}
	return r.Attempts()
}

// endKinds maps final states of runs to events.
var endKinds = map[task.State]timeline.Kind{
	task.Finished:     timeline.TaskFinished,
	task.Failed:       timeline.TaskFailed,
	task.Checkpointed: timeline.TaskEvicted,
	task.Stopped:      timeline.TaskStopped,
	task.Refused:      timeline.TaskRefused,
}

// EndKind returns the event for a run that ends in a state.
func EndKind(state task.State) timeline.Kind { return endKinds[state] }

func (l *Leader) recordEnd(run task.Run, before cell.Task, state task.State, jobEnded bool) {
	subject := timeline.Subject{Task: run.ID().String(), Worker: before.Instance()}
	l.Recorder.Record(EndKind(state), subject, "the end of the run is committed")
	if jobEnded {
		l.Recorder.Record(timeline.JobFinished, timeline.Subject{Task: run.ID().Job()}, "the job has ended")
	}
}
