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
	burstBytes        = 256 << 10
	maxCommitDelay    = 2 * time.Second
	urgentCommitDelay = 20 * time.Millisecond
	idlePlanInterval  = time.Second
	storeRetryDelay   = time.Second
)

// commitLoop schedules and commits all collected changes with one swap at a time, until the leader is stale.
func (l *Leader) commitLoop(ctx context.Context) error {
	limiter := rate.NewLimiter(rate.Limit(l.Timing.CommitRate), burstBytes)
	idle := time.NewTicker(idlePlanInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.changed:
		case <-idle.C:
			l.markDirty()
		}
		store.Pause(ctx, l.commitDelay(limiter))
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

// commitDelay returns how long to collect changes: longer for a large document and after commits of many bytes.
func (l *Leader) commitDelay(limiter *rate.Limiter) time.Duration {
	l.mu.Lock()
	urgent := l.urgent
	l.mu.Unlock()
	reservation := limiter.ReserveN(time.Now(), min(l.document.Size(), burstBytes))
	if urgent {
		return urgentCommitDelay
	}
	return min(max(reservation.Delay(), l.Timing.CommitWindow), maxCommitDelay)
}

// CommitOnce schedules, and commits all collected changes with one swap; it returns an error if the leader is stale.
func (l *Leader) CommitOnce(ctx context.Context) error {
	operations, ok := l.takePending()
	if !ok {
		return nil
	}
	var plan *scheduling.Plan
	_, before, _ := l.document.Current()
	committed, err := l.document.Update(ctx, func(d *cell.Document) (*cell.Document, bool, error) {
		next, newPlan, changed, err := l.change(d, operations)
		plan = newPlan
		return next, changed, err
	})
	l.recordStoreResult(err)
	if err != nil {
		return l.handleCommitError(ctx, operations, err)
	}
	if _, after, _ := l.document.Current(); after != before {
		l.mu.Lock()
		l.commits++
		l.mu.Unlock()
	}
	l.finishCommit(committed, operations, plan)
	return nil
}

// takePending removes and returns the collected operations, and reports whether there is anything to commit.
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

// change applies the operations and a new plan to a copy of the document.
func (l *Leader) change(d *cell.Document, operations []*operation) (*cell.Document, *scheduling.Plan, bool, error) {
	l.mu.Lock()
	epoch := l.epoch
	l.mu.Unlock()
	if d.Epoch() != epoch {
		return d, nil, false, fault.New(fault.Stale, "another leader took over %s as epoch %d", l.Cell, d.Epoch())
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

func (l *Leader) handleCommitError(ctx context.Context, operations []*operation, err error) error {
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
	store.Pause(ctx, jitter(storeRetryDelay))
	return nil
}

// finishCommit completes the operations of a commit and publishes the result to agents and entries.
func (l *Leader) finishCommit(d *cell.Document, operations []*operation, plan *scheduling.Plan) {
	for _, o := range operations {
		if o.changed {
			o.onCommit()
		}
		o.result <- o.err
	}
	if plan != nil {
		l.applyPlan(d, plan)
	}
	l.publish()
	l.publishSummary()
}

func (l *Leader) applyPlan(d *cell.Document, plan *scheduling.Plan) {
	l.mu.Lock()
	l.waiting = plan.Waiting()
	for _, run := range plan.Evict() {
		l.evicting[run] = struct{}{}
	}
	l.selectEvictions(d)
	l.startTrials(d, plan)
	l.mu.Unlock()
	for _, run := range plan.Assigned() {
		t, _ := d.Task(run.ID())
		l.Recorder.Record(timeline.TaskAssigned, timeline.Subject{Task: run.ID().String(), Worker: t.Instance()}, "placed with "+t.Size().String())
	}
}

// startTrials marks trials on workers on probation that were assigned a task; l.mu is held.
func (l *Leader) startTrials(d *cell.Document, plan *scheduling.Plan) {
	for _, run := range plan.Assigned() {
		t, _ := d.Task(run.ID())
		if a, ok := l.agents[t.Instance()]; ok {
			workerProbation.StartTrial(&a.probation)
		}
	}
}

// selectEvictions selects one task on each worker that requested an eviction, and all tasks on leaving workers; l.mu is held.
func (l *Leader) selectEvictions(d *cell.Document) {
	for run := range l.evicting {
		if t, ok := d.Task(run.ID()); !ok || t.Run() != run || !t.IsPlaced() {
			delete(l.evicting, run)
		}
	}
	for instance, a := range l.agents {
		switch {
		case l.isLeaving(instance):
			l.evictAll(d, instance)
		case a.evictionRequested:
			l.evictOne(d, instance)
			a.evictionRequested = false
		}
	}
}

func (l *Leader) evictAll(d *cell.Document, instance string) {
	for _, t := range d.PlacedOn(instance) {
		l.evicting[t.Run()] = struct{}{}
	}
}

// evictOne selects the evictable task with the lowest weight, and of equal weights the one with the fewest evictions.
func (l *Leader) evictOne(d *cell.Document, instance string) {
	best, found := cell.Task{}, false
	for _, t := range d.PlacedOn(instance) {
		if _, ok := l.evicting[t.Run()]; ok {
			return
		}
		if scheduling.Evictable(t, l.table) && (!found || l.isEvictedBefore(t, best)) {
			best, found = t, true
		}
	}
	if found {
		l.evicting[best.Run()] = struct{}{}
		l.Recorder.Record(timeline.TaskEvicting, subjectOf(best.Run(), instance), "a service on the worker exceeds its latency target")
	}
}

func (l *Leader) isEvictedBefore(a, b cell.Task) bool {
	rowA, _ := l.table.Row(a.Workload())
	rowB, _ := l.table.Row(b.Workload())
	if rowA.Weight() != rowB.Weight() {
		return rowA.Weight() < rowB.Weight()
	}
	return a.Evictions() < b.Evictions()
}

func subjectOf(run task.Run, instance string) timeline.Subject {
	return timeline.Subject{Task: run.ID().String(), Worker: instance}
}
