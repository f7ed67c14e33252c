package leader

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/scheduling"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const (
	heartbeatGrace    = 5 * time.Second
	storeRetryAfter   = 5 * time.Second
	maxUnfinishedJobs = 2000
)

// Submit adds a job and returns it once it is committed.
func (l *Leader) Submit(ctx context.Context, _ *rpc.Peer, s control.Submit) (control.Job, error) {
	d, _, _ := l.document.Current()
	if j, ok := d.Job(s.ID); ok {
		return l.jobWire(d, j), nil
	}
	r, err := l.checkSubmit(d, s)
	if err != nil {
		return control.Job{}, err
	}
	job := cell.NewJob(s.ID, s.Workload, s.Payload, s.Tasks, time.UnixMilli(s.SubmittedMillis))
	o := newOperation(func(d *cell.Document) (bool, error) {
		_, known := d.Job(s.ID)
		if !known && s.Repeated && d.MayHaveForgotten(s.ID) {
			return false, fault.New(fault.OutcomeUnknown, "job %s may have ended long ago; submit it with another key if it must run", s.ID)
		}
		d.Submit(job)
		return !known, nil
	})
	o.urgent = r.IsUrgent()
	o.onCommit = func() {
		l.Recorder.Record(timeline.JobAccepted, timeline.Subject{Task: s.ID}, "the job is committed")
	}
	if err := l.commit(ctx, o); err != nil {
		return control.Job{}, err
	}
	d, _, _ = l.document.Current()
	j, _ := d.Job(s.ID)
	return l.jobWire(d, j), nil
}

func (l *Leader) checkSubmit(d *cell.Document, s control.Submit) (table.Row, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.storeUp || !l.holdsLease(time.Now()) {
		return table.Row{}, fault.New(fault.Unavailable, "the store is unreachable, so no job can be accepted").WithRetryAfter(storeRetryAfter)
	}
	r, ok := l.table.Row(s.Workload)
	if !ok || r.Kind() != table.Batch {
		return table.Row{}, fault.New(fault.NotFound, "the table has no batch workload %q", s.Workload)
	}
	if len(d.Jobs()) >= maxUnfinishedJobs {
		return table.Row{}, fault.New(fault.Overloaded, "%s has %d unfinished jobs, its limit", l.Cell, maxUnfinishedJobs).WithRetryAfter(storeRetryAfter)
	}
	if !scheduling.FitsEmptyWorker(r.Size(), l.workers(time.Now())) {
		if time.Since(l.startedAt) < heartbeatGrace {
			return table.Row{}, fault.New(fault.Unavailable, "the leader has not received the heartbeats of its workers yet").WithRetryAfter(heartbeatGrace)
		}
		return table.Row{}, fault.New(fault.Impossible, "no worker of %s has %s, even empty", l.Cell, r.Size())
	}
	return r, nil
}

// commit enqueues an operation and waits for its commit; if ctx or the leader ends before, the outcome is unknown.
func (l *Leader) commit(ctx context.Context, o *operation) error {
	l.enqueue(o)
	select {
	case err := <-o.result:
		return err
	case <-ctx.Done():
		return fault.New(fault.OutcomeUnknown, "the commit did not complete in time")
	case <-l.done:
		return fault.New(fault.OutcomeUnknown, "the leader ended before the commit")
	}
}

// Job returns the state of a job.
func (l *Leader) Job(_ context.Context, _ *rpc.Peer, q control.JobQuery) (control.Job, error) {
	d, _, _ := l.document.Current()
	j, ok := d.Job(q.ID)
	if !ok {
		return control.Job{}, fault.New(fault.NotFound, "%s has no job %s", l.Cell, q.ID)
	}
	return l.jobWire(d, j), nil
}

// Cancel cancels a job and returns once that is committed; concurrent cancellations share a commit.
func (l *Leader) Cancel(ctx context.Context, p *rpc.Peer, q control.JobQuery) (control.Job, error) {
	l.mu.Lock()
	storeUp := l.storeUp
	l.mu.Unlock()
	if !storeUp {
		return control.Job{}, fault.New(fault.Unavailable, "the store is unreachable, so no job can be canceled").WithRetryAfter(storeRetryAfter)
	}
	o := newOperation(func(d *cell.Document) (bool, error) {
		if err := d.Cancel(q.ID); err != nil {
			return false, err
		}
		return true, nil
	})
	o.onCommit = func() {
		l.Recorder.Record(timeline.JobCanceled, timeline.Subject{Task: q.ID}, "the cancellation is committed")
	}
	if err := l.commit(ctx, o); err != nil {
		return control.Job{}, err
	}
	return l.Job(ctx, p, q)
}

func (l *Leader) jobWire(d *cell.Document, j cell.Job) control.Job {
	running := 0
	for _, t := range d.Tasks() {
		if t.ID().Job() == j.ID() && t.IsPlaced() {
			running++
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	wire := control.Job{
		ID: j.ID(), Workload: j.Workload(), State: j.State().String(), Tasks: j.Tasks(), Running: running,
		Finished: j.Finished(), Failed: j.Failed(), Evictions: j.Evictions(), SubmittedMillis: j.Submitted().UnixMilli(),
	}
	if reason, ok := l.waiting[j.ID()]; ok && !j.State().IsFinal() {
		wire.Waiting = reason.String()
	}
	return wire
}
