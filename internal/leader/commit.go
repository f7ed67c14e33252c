package leader

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/scheduling"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const (
	burstBytes  = 256 << 10
	longestWait = 2 * time.Second
	urgentGap   = 20 * time.Millisecond
	idlePlan    = time.Second
	storeRetry  = time.Second
)

// commitLoop plans and commits, one swap for all that has gathered, until the lead is stale.
func (l *Leader) commitLoop(ctx context.Context) error {
	pace := rate.NewLimiter(rate.Limit(l.Timing.CommitRate), burstBytes)
	idle := time.NewTicker(idlePlan)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		case <-idle.C:
			l.markDirty()
		}
		store.Pause(ctx, l.gather(pace))
		if err := l.CommitOnce(ctx); err != nil {
			return err
		}
	}
}

func (l *Leader) markDirty() {
	l.mu.Lock()
	l.dirty = true
	l.mu.Unlock()
}

// gather is how long to wait for more changes: longer when the document is large and the bytes of late commits many.
func (l *Leader) gather(pace *rate.Limiter) time.Duration {
	l.mu.Lock()
	urgent := l.urgent
	l.mu.Unlock()
	reserved := pace.ReserveN(time.Now(), min(l.document.Size(), burstBytes))
	if urgent {
		return urgentGap
	}
	return min(max(reserved.Delay(), l.Timing.CommitWindow), longestWait)
}

// CommitOnce plans, and commits what has gathered by one swap; an error says that the lead is stale.
func (l *Leader) CommitOnce(ctx context.Context) error {
	operations, ok := l.takePending()
	if !ok {
		return nil
	}
	var plan *scheduling.Plan
	_, before, _ := l.document.Current()
	committed, err := l.document.Update(ctx, func(d *cell.Document) (*cell.Document, bool, error) {
		next, made, changed, err := l.change(d, operations)
		plan = made
		return next, changed, err
	})
	l.noteStore(err)
	if err != nil {
		return l.commitFailed(ctx, operations, err)
	}
	if _, after, _ := l.document.Current(); after != before {
		l.mu.Lock()
		l.commits++
		l.mu.Unlock()
	}
	l.committed(committed, operations, plan)
	return nil
}

// takePending takes the gathered operations, if there is anything to do.
func (l *Leader) takePending() ([]*operation, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 && !l.dirty {
		return nil, false
	}
	operations := l.pending
	l.pending, l.dirty, l.urgent = nil, false, false
	return operations, true
}

// change applies the operations and a plan to a copy of the document.
func (l *Leader) change(d *cell.Document, operations []*operation) (*cell.Document, *scheduling.Plan, bool, error) {
	l.mu.Lock()
	epoch := l.epoch
	l.mu.Unlock()
	if d.Epoch() != epoch {
		return d, nil, false, fault.New(fault.Stale, "another lead took over %s as epoch %d", l.Cell, d.Epoch())
	}
	next := d.Clone()
	changed := false
	for _, o := range operations {
		o.changed, o.err = o.apply(next)
		changed = changed || o.changed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.storeUp && !changed {
		return d, nil, false, nil
	}
	plan := scheduling.Make(next, l.snapshot(time.Now()))
	return next, plan, changed || plan.Changed(), nil
}

func (l *Leader) commitFailed(ctx context.Context, operations []*operation, err error) error {
	if fault.Is(err, fault.Stale) {
		for _, o := range operations {
			o.result <- err
		}
		return err
	}
	l.Logger.Warn("cannot commit: %v", err)
	for _, o := range operations {
		o.result <- err
	}
	l.markDirty()
	store.Pause(ctx, jitter(storeRetry))
	return nil
}

// committed answers the operations of a commit and tells the agents.
func (l *Leader) committed(d *cell.Document, operations []*operation, plan *scheduling.Plan) {
	for _, o := range operations {
		if o.changed {
			o.after()
		}
		o.result <- o.err
	}
	if plan != nil {
		l.planned(d, plan)
	}
	l.publish()
	l.publishSummary()
}

func (l *Leader) planned(d *cell.Document, plan *scheduling.Plan) {
	l.mu.Lock()
	l.waiting = plan.Waiting()
	for _, run := range plan.Evict() {
		l.evicting[run] = struct{}{}
	}
	l.evictForPressure(d)
	l.startTrials(d, plan)
	l.mu.Unlock()
	for _, run := range plan.Assigned() {
		t, _ := d.Task(run.ID())
		l.Recorder.Record(timeline.TaskAssigned, timeline.Subject{Task: run.ID().String(), Worker: t.Instance()}, "placed with "+t.Size().String())
	}
}

// startTrials takes note of tasks placed on workers that are on probation; l.mu is held.
func (l *Leader) startTrials(d *cell.Document, plan *scheduling.Plan) {
	for _, run := range plan.Assigned() {
		t, _ := d.Task(run.ID())
		if a, ok := l.agents[t.Instance()]; ok {
			workerProbation.StartTrial(&a.health)
		}
	}
}

// evictForPressure picks one task on each worker that asks to be relieved, and all on workers that leave; l.mu is held.
func (l *Leader) evictForPressure(d *cell.Document) {
	for run := range l.evicting {
		if t, ok := d.Task(run.ID()); !ok || t.Run() != run || !t.IsPlaced() {
			delete(l.evicting, run)
		}
	}
	for instance, a := range l.agents {
		switch {
		case l.isLeaving(instance):
			l.evictAll(d, instance)
		case a.evict:
			l.evictOne(d, instance)
			a.evict = false
		}
	}
}

func (l *Leader) evictAll(d *cell.Document, instance string) {
	for _, t := range d.PlacedOn(instance) {
		l.evicting[t.Run()] = struct{}{}
	}
}

// evictOne picks the evictable task of least weight, of those the one that was evicted least.
func (l *Leader) evictOne(d *cell.Document, instance string) {
	best, found := cell.Task{}, false
	for _, t := range d.PlacedOn(instance) {
		if _, ok := l.evicting[t.Run()]; ok {
			return
		}
		if scheduling.Evictable(t, l.table) && (!found || l.goesBefore(t, best)) {
			best, found = t, true
		}
	}
	if found {
		l.evicting[best.Run()] = struct{}{}
		l.Recorder.Record(timeline.TaskEvicting, subjectOf(best.Run(), instance), "a service there is over its target")
	}
}

func (l *Leader) goesBefore(a, b cell.Task) bool {
	ra, _ := l.table.Row(a.Workload())
	rb, _ := l.table.Row(b.Workload())
	if ra.Weight() != rb.Weight() {
		return ra.Weight() < rb.Weight()
	}
	return a.Evictions() < b.Evictions()
}

func subjectOf(run task.Run, instance string) timeline.Subject {
	return timeline.Subject{Task: run.ID().String(), Worker: instance}
}
