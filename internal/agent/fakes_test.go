package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

// fakeStore is an in-memory store whose next write can fail or lose its answer.
type fakeStore struct {
	records    map[string]store.Record
	failNext   fault.Kind
	holder     string
	leaseUntil time.Time
}

func (f *fakeStore) Get(_ context.Context, key string) (store.Record, error) {
	return f.records[key], nil
}

func (f *fakeStore) Swap(_ context.Context, key string, from store.Version, value []byte) (store.Version, error) {
	kind := f.failNext
	f.failNext = fault.Internal
	if kind == fault.Unavailable {
		return 0, fault.New(fault.Unavailable, "down")
	}
	if f.records[key].Version() != from {
		return 0, fault.New(fault.Conflict, "another version")
	}
	f.records[key] = store.NewRecord(from+1, value)
	if kind == fault.OutcomeUnknown {
		return 0, fault.New(fault.OutcomeUnknown, "lost")
	}
	return from + 1, nil
}

func (f *fakeStore) Watch(_ context.Context, key string, _ store.Version) (store.Record, error) {
	return f.records[key], nil
}

func (f *fakeStore) Acquire(_ context.Context, _, holder string, ttl time.Duration) (store.Lease, error) {
	now := time.Now()
	if f.holder != holder && now.Before(f.leaseUntil) {
		return store.NewLease(f.holder, f.leaseUntil.Sub(now)), fault.New(fault.Conflict, "held")
	}
	f.holder, f.leaseUntil = holder, now.Add(ttl)
	return store.NewLease(holder, ttl), nil
}

func (f *fakeStore) Holder(context.Context, string) (store.Lease, error) { return store.Lease{}, nil }

func (f *fakeStore) Release(context.Context, string, string) error { return nil }

// fakeWorker is an in-memory worker; its runs are the state that the property checks.
type fakeWorker struct {
	instance       string
	lost           bool
	loseNextAnswer bool
	runs           map[task.Run]worker.Status
	model          *clusterModel
}

func (f *fakeWorker) Describe(context.Context) (worker.Description, error) {
	return worker.NewDescription(f.instance, resource.New(8000, 1000, 0), 8, 64), nil
}

func (f *fakeWorker) List(context.Context) ([]worker.Status, error) {
	var list []worker.Status
	for _, s := range f.runs {
		list = append(list, s)
	}
	return list, nil
}

func (f *fakeWorker) Start(_ context.Context, order worker.Order) error {
	if _, ok := f.runs[order.Run()]; ok {
		return nil
	}
	f.model.checkStart(f, order)
	status := worker.NewStatus(order.Run(), order.Workload(), task.Running, order.Size())
	if order.IsService() {
		status = status.WithAddress("127.0.0.1:1")
	}
	f.runs[order.Run()] = status
	if f.loseNextAnswer {
		f.loseNextAnswer = false
		return fault.New(fault.OutcomeUnknown, "lost")
	}
	return nil
}

func (f *fakeWorker) Renew(context.Context, []task.Run, time.Duration) error { return nil }

func (f *fakeWorker) Throttle(context.Context, task.Run, int) error { return nil }

func (f *fakeWorker) Checkpoint(_ context.Context, r task.Run) error {
	return f.end(r, task.Checkpointed)
}

// Stop checks that the run is not placed on this worker in the committed document.
func (f *fakeWorker) Stop(_ context.Context, r task.Run) error {
	d, err := cell.Decode(f.model.store.records[leader.DocumentKey("h-0")].Value())
	f.model.must(err)
	for _, t := range d.PlacedOn(f.instance) {
		if t.Run() == r && !f.model.replicasEdited {
			f.model.t.Fatalf("run %v is stopped on %s, where it is placed", r, f.instance)
		}
	}
	return f.end(r, task.Stopped)
}

func (f *fakeWorker) Forget(_ context.Context, r task.Run) error {
	delete(f.runs, r)
	return nil
}

func (f *fakeWorker) Usage(context.Context) ([]worker.Usage, error) { return nil, nil }

// end sets the final state of a run that has not ended.
func (f *fakeWorker) end(r task.Run, state task.State) error {
	s, ok := f.runs[r]
	if !ok {
		return fault.New(fault.NotFound, "no such run")
	}
	if s.State().IsFinal() {
		return nil
	}
	ended := worker.NewStatus(r, s.Workload(), state, s.Size())
	if state == task.Checkpointed {
		ended = ended.WithCheckpoint(fmt.Sprint("after-", r.Incarnation()))
	}
	if state == task.Finished {
		f.model.finished[r.ID()]++
	}
	f.runs[r] = ended
	return nil
}

func (f *fakeWorker) running() []task.Run {
	var runs []task.Run
	for r, s := range f.runs {
		if !s.State().IsFinal() {
			runs = append(runs, r)
		}
	}
	return runs
}
