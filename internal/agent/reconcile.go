package agent

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/gate"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/worker"
)

// takeDesired takes over what the lead wants, unless it is older than what the agent has or meant for an earlier start.
func (a *Agent) takeDesired(_ context.Context, _ *rpc.Peer, d control.Desired) (control.Ack, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if d.Boot != a.Boot {
		return control.Ack{}, fault.New(fault.Stale, "the agent was started anew since")
	}
	if d.Position.Before(a.desired.Position) {
		return control.Ack{}, fault.New(fault.Stale, "a later lead or a later message was here before")
	}
	if !d.IsFull() && d.Base != a.desired.Position {
		return control.Ack{}, fault.New(fault.Stale, "the change is of another position than the agent's")
	}
	a.desired, a.fresh = merged(a.desired, d), true
	a.setLeaving(d.Leaving)
	notify(a.poke)
	return control.Ack{}, nil
}

// merged is what an agent is to run after a message, which may tell only what changed.
func merged(before, d control.Desired) control.Desired {
	if d.IsFull() {
		return d
	}
	changed := make(map[control.Run]struct{}, len(d.Runs)+len(d.Removed))
	for _, r := range d.Runs {
		changed[r.Run] = struct{}{}
	}
	for _, run := range d.Removed {
		changed[run] = struct{}{}
	}
	for _, r := range before.Runs {
		if _, ok := changed[r.Run]; !ok {
			d.Runs = append(d.Runs, r)
		}
	}
	d.Base, d.Removed = control.Position{}, nil
	return d
}

// reconcileLoop brings the worker to what is wanted, from time to time and when something new is wanted.
func (a *Agent) reconcileLoop(ctx context.Context) error {
	ticker := time.NewTicker(a.Timing.Reconcile)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-a.poke:
		}
		a.reconcile(ctx)
	}
}

// reconcile is one round; only this goroutine starts and stops runs.
func (a *Agent) reconcile(ctx context.Context) {
	statuses, err := a.Worker.List(ctx)
	if err != nil {
		a.Logger.Warn("the worker cannot be listed: %v", err)
		return
	}
	a.takeStatuses(statuses, time.Now())
	position := a.takeWanted()
	a.startWanted(ctx)
	a.stopUnwanted(ctx)
	a.checkpointEvicted(ctx)
	a.renew(ctx)
	a.setReplicas()
	a.mu.Lock()
	news := a.applied != position
	a.applied = position
	a.mu.Unlock()
	if news {
		a.beatSoon()
	}
}

// takeStatuses compares the worker's list with the runs that the agent knows.
func (a *Agent) takeStatuses(statuses []worker.Status, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := make(map[task.Run]struct{}, len(statuses))
	for _, s := range statuses {
		listed[s.Run()] = struct{}{}
		r, ok := a.runs[s.Run()]
		if !ok {
			r = &run{started: true, adopted: true, began: now}
			a.runs[s.Run()] = r
		}
		r.status, r.started = s, true
		if s.State().IsFinal() {
			a.endRun(r, s.State(), s.Checkpoint(), now)
		}
	}
	for key, r := range a.runs {
		if _, ok := listed[key]; !ok && r.started {
			a.endRun(r, task.Stopped, r.status.Checkpoint(), now)
		}
	}
}

// endRun takes a run off the ledger and has its end reported; a.mu is held.
func (a *Agent) endRun(r *run, state task.State, checkpoint string, now time.Time) {
	if r.hasEnded() {
		return
	}
	r.end(state, checkpoint, now)
	a.ledger.End(r.status.Run())
	a.record(leader.EndKind(state), r.status.Run(), "the run has ended: "+state.String())
	a.beatSoon()
}

func (a *Agent) record(kind timeline.Kind, r task.Run, text string) {
	a.Recorder.Record(kind, timeline.Subject{Task: r.ID().String(), Worker: a.description.Instance()}, text)
}

// takeWanted marks the runs that are wanted, and returns the position that this round applies.
func (a *Agent) takeWanted() control.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fresh {
		// Until a lead has spoken, what runs goes on.
		for _, r := range a.runs {
			r.wanted = true
		}
		return a.applied
	}
	for _, r := range a.runs {
		r.wanted = false
	}
	for _, d := range a.desired.Runs {
		key := d.Run.Decode()
		r, ok := a.runs[key]
		if !ok {
			if a.ledger.HasEnded(key) {
				continue
			}
			r = &run{status: worker.NewStatus(key, d.Workload, task.Absent, d.Size.Decode())}
			a.runs[key] = r
		}
		r.wanted, r.desired = true, d
		a.weights[d.Workload] = d.Weight
	}
	return a.desired.Position
}

// pick returns the runs that a test holds for.
func (a *Agent) pick(test func(*run) bool) []*run {
	a.mu.Lock()
	defer a.mu.Unlock()
	var picked []*run
	for _, r := range a.runs {
		if test(r) {
			picked = append(picked, r)
		}
	}
	return picked
}

func (a *Agent) startWanted(ctx context.Context) {
	for _, r := range a.pick(func(r *run) bool { return r.wanted && !r.started && !r.hasEnded() }) {
		a.start(ctx, r)
	}
}

func (a *Agent) start(ctx context.Context, r *run) {
	key := r.status.Run()
	if err := a.ledger.Admit(key, r.status.Size()); err != nil {
		if a.waitsForOlder(key) {
			return
		}
		a.refuse(r, err)
		return
	}
	order := worker.NewOrder(key, r.desired.Workload, r.desired.Service, r.status.Size(), r.desired.Checkpoint, a.Timing.TaskLease)
	err := a.Worker.Start(ctx, order)
	switch {
	case err == nil:
		a.mu.Lock()
		r.started, r.began = true, time.Now()
		r.status = worker.NewStatus(key, r.desired.Workload, task.Running, r.status.Size())
		a.mu.Unlock()
		a.record(timeline.TaskStarted, key, "started as "+r.desired.Workload)
		a.throttleNew(ctx, r)
		notify(a.poke)
	case fault.Is(err, fault.DoesNotFit):
		a.refuse(r, err)
	default:
		// The next round asks again; a start may be repeated.
		a.Logger.Warn("cannot start task %s: %v", key.ID(), err)
	}
}

// waitsForOlder reports whether an earlier run of the task has yet to stop here.
func (a *Agent) waitsForOlder(key task.Run) bool {
	older := a.pick(func(o *run) bool {
		return o.status.Run().ID() == key.ID() && o.status.Run().Incarnation() < key.Incarnation() && !o.hasEnded()
	})
	return len(older) > 0
}

func (a *Agent) refuse(r *run, err error) {
	a.Logger.Warn("refused task %s: %v", r.status.Run().ID(), err)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endRun(r, task.Refused, "", time.Now())
}

// stopUnwanted stops what is no longer wanted; a replica first finishes its requests.
func (a *Agent) stopUnwanted(ctx context.Context) {
	for _, r := range a.pick(func(r *run) bool { return !r.wanted && !r.hasEnded() }) {
		if r.status.Address() != "" && !a.drained(r) {
			continue
		}
		err := a.Worker.Stop(ctx, r.status.Run())
		if err != nil && !fault.Is(err, fault.NotFound) {
			a.Logger.Warn("cannot stop task %s: %v", r.status.Run().ID(), err)
			continue
		}
		a.mu.Lock()
		a.endRun(r, task.Stopped, r.status.Checkpoint(), time.Now())
		a.mu.Unlock()
	}
}

func (a *Agent) drained(r *run) bool {
	now := time.Now()
	if r.drainBy.IsZero() {
		r.drainBy = now.Add(a.Timing.Drain)
		a.Recorder.Record(timeline.EndpointLeaving,
			timeline.Subject{Task: r.status.Run().ID().String(), Worker: a.description.Instance()}, "the replica takes no new requests")
		a.gate.Drain(r.status.Workload())
		a.beatSoon()
		return false
	}
	return a.gate.Drain(r.status.Workload()) == 0 || now.After(r.drainBy)
}

func (a *Agent) checkpointEvicted(ctx context.Context) {
	for _, r := range a.pick(func(r *run) bool { return r.wanted && r.started && r.desired.Evict && !r.checked && !r.hasEnded() }) {
		if err := a.Worker.Checkpoint(ctx, r.status.Run()); err != nil {
			a.Logger.Warn("cannot checkpoint task %s: %v", r.status.Run().ID(), err)
			continue
		}
		r.checked = true
		a.record(timeline.TaskEvicting, r.status.Run(), "asked to checkpoint and end")
		notify(a.poke)
	}
}

func (a *Agent) renew(ctx context.Context) { a.renewFor(ctx, a.Timing.TaskLease) }

// extendLeases gives tasks the time that a new agent needs to adopt them.
func (a *Agent) extendLeases(ctx context.Context) { a.renewFor(ctx, 2*a.Timing.TaskLease) }

func (a *Agent) renewFor(ctx context.Context, lease time.Duration) {
	running := a.pick(func(r *run) bool { return r.started && !r.hasEnded() })
	runs := make([]task.Run, 0, len(running))
	for _, r := range running {
		runs = append(runs, r.status.Run())
	}
	if len(runs) == 0 {
		return
	}
	if err := a.Worker.Renew(ctx, runs, lease); err != nil {
		a.Logger.Warn("cannot renew the leases of the tasks: %v", err)
	}
}

// setReplicas tells the gate which replicas run.
func (a *Agent) setReplicas() {
	a.mu.Lock()
	defer a.mu.Unlock()
	var replicas []gate.Replica
	for _, r := range a.runs {
		if r.status.Address() == "" || r.status.State() != task.Running || r.hasEnded() {
			continue
		}
		replicas = append(replicas, a.replicaOf(r))
	}
	a.gate.SetReplicas(replicas)
}

// replicaOf describes a replica to the gate, with the worker's limits where the table's are larger or not known.
func (a *Agent) replicaOf(r *run) gate.Replica {
	slots, queue := a.description.Slots(), max(a.description.Connections()-a.description.Slots(), 0)
	if r.desired.Concurrency > 0 {
		slots = min(slots, r.desired.Concurrency)
	}
	if r.desired.Concurrency > 0 {
		queue = min(queue, r.desired.Queue)
	}
	return gate.Replica{
		Service: r.status.Workload(), Address: r.status.Address(), Slots: slots, Queue: queue,
		Target: time.Duration(r.desired.TargetMillis) * time.Millisecond,
	}
}

// forget drops the runs whose end the lead has committed.
func (a *Agent) forget(ctx context.Context, acked []control.Run) {
	for _, w := range acked {
		key := w.Decode()
		err := a.Worker.Forget(ctx, key)
		if err != nil && !fault.Is(err, fault.NotFound) {
			continue
		}
		a.mu.Lock()
		delete(a.runs, key)
		a.mu.Unlock()
	}
}

// setLeaving takes note of whether the platform takes the VM away, which it may take back; a.mu is held.
func (a *Agent) setLeaving(leaving bool) {
	if a.leaving == leaving || a.stopping {
		return
	}
	a.leaving = leaving
	if !leaving {
		a.gate.Resume()
		return
	}
	a.Recorder.Record(timeline.EndpointLeaving, timeline.Subject{Worker: a.description.Instance()}, "the VM leaves")
	a.gate.Leave()
	a.beatSoon()
}
