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

// acceptDesired stores the desired runs of a leader. It rejects those that are older than the stored ones or for an earlier
// incarnation of the agent.
func (a *Agent) acceptDesired(_ context.Context, _ *rpc.Peer, d control.Desired) (control.Ack, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if d.Boot != a.Boot {
		return control.Ack{}, fault.New(fault.Stale, "the agent has restarted since")
	}
	if d.Position.Before(a.desired.Position) {
		return control.Ack{}, fault.New(fault.Stale, "the agent has received a later position")
	}
	if !d.IsFull() && d.Base != a.desired.Position {
		return control.Ack{}, fault.New(fault.Stale, "the change is based on another position than the agent's")
	}
	a.desired, a.desiredReceived = mergeDesired(a.desired, d), true
	a.setLeaving(d.Leaving)
	notify(a.reconcileNow)
	return control.Ack{}, nil
}

// mergeDesired returns the desired runs after a message, which may be full or a change of the previous ones.
func mergeDesired(previous, d control.Desired) control.Desired {
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
	for _, r := range previous.Runs {
		if _, ok := changed[r.Run]; !ok {
			d.Runs = append(d.Runs, r)
		}
	}
	d.Base, d.Removed = control.Position{}, nil
	return d
}

// reconcileLoop reconciles the worker at an interval and whenever the desired runs change.
func (a *Agent) reconcileLoop(ctx context.Context) error {
	ticker := time.NewTicker(a.Timing.Reconcile)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-a.reconcileNow:
		}
		a.reconcile(ctx)
	}
}

// reconcile brings the worker to the desired runs in one pass; only its goroutine starts and stops runs.
func (a *Agent) reconcile(ctx context.Context) {
	statuses, err := a.Worker.List(ctx)
	if err != nil {
		a.Logger.Warn("cannot list the worker's runs: %v", err)
		return
	}
	a.updateStatuses(statuses, time.Now())
	position := a.markWanted()
	a.startWanted(ctx)
	a.stopUnwanted(ctx)
	a.checkpointEvicted(ctx)
	a.renew(ctx)
	a.setReplicas()
	a.mu.Lock()
	changed := a.applied != position
	a.applied = position
	a.mu.Unlock()
	if changed {
		a.heartbeatSoon()
	}
}

// updateStatuses updates the runs of the agent by the worker's list; a started run that is missing there counts as stopped.
func (a *Agent) updateStatuses(statuses []worker.Status, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := make(map[task.Run]struct{}, len(statuses))
	for _, s := range statuses {
		listed[s.Run()] = struct{}{}
		r, ok := a.runs[s.Run()]
		if !ok {
			r = &run{started: true, adopted: true, startedAt: now}
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

// endRun removes a run from the ledger and requests a heartbeat that reports its end; a.mu is held.
func (a *Agent) endRun(r *run, state task.State, checkpoint string, now time.Time) {
	if r.hasEnded() {
		return
	}
	r.end(state, checkpoint, now)
	a.ledger.End(r.status.Run())
	a.record(leader.EndKind(state), r.status.Run(), "the run has ended: "+state.String())
	a.heartbeatSoon()
}

func (a *Agent) record(kind timeline.Kind, r task.Run, text string) {
	a.Recorder.Record(kind, timeline.Subject{Task: r.ID().String(), Worker: a.description.Instance()}, text)
}

// markWanted marks the desired runs, and returns the position that this pass applies.
func (a *Agent) markWanted() control.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.desiredReceived {
		// Adopted runs continue until a leader sends the desired runs.
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

// selectRuns returns the runs that match.
func (a *Agent) selectRuns(match func(*run) bool) []*run {
	a.mu.Lock()
	defer a.mu.Unlock()
	var selected []*run
	for _, r := range a.runs {
		if match(r) {
			selected = append(selected, r)
		}
	}
	return selected
}

func (a *Agent) startWanted(ctx context.Context) {
	for _, r := range a.selectRuns(func(r *run) bool { return r.wanted && !r.started && !r.hasEnded() }) {
		a.start(ctx, r)
	}
}

func (a *Agent) start(ctx context.Context, r *run) {
	key := r.status.Run()
	if err := a.ledger.Admit(key, r.status.Size()); err != nil {
		if a.waitsForEarlierRun(key) {
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
		r.started, r.startedAt = true, time.Now()
		r.status = worker.NewStatus(key, r.desired.Workload, task.Running, r.status.Size())
		a.mu.Unlock()
		a.record(timeline.TaskStarted, key, "started as "+r.desired.Workload)
		a.throttleNew(ctx, r)
		notify(a.reconcileNow)
	case fault.Is(err, fault.DoesNotFit):
		a.refuse(r, err)
	default:
		// The next pass retries; starting a run again has no effect.
		a.Logger.Warn("cannot start task %s: %v", key.ID(), err)
	}
}

// waitsForEarlierRun reports whether an earlier run of the task has not ended on this worker.
func (a *Agent) waitsForEarlierRun(key task.Run) bool {
	earlier := a.selectRuns(func(o *run) bool {
		return o.status.Run().ID() == key.ID() && o.status.Run().Incarnation() < key.Incarnation() && !o.hasEnded()
	})
	return len(earlier) > 0
}

func (a *Agent) refuse(r *run, err error) {
	a.Logger.Warn("refused task %s: %v", r.status.Run().ID(), err)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endRun(r, task.Refused, "", time.Now())
}

// stopUnwanted stops the runs that are no longer desired; replicas are drained first.
func (a *Agent) stopUnwanted(ctx context.Context) {
	for _, r := range a.selectRuns(func(r *run) bool { return !r.wanted && !r.hasEnded() }) {
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
	if r.drainDeadline.IsZero() {
		r.drainDeadline = now.Add(a.Timing.Drain)
		a.Recorder.Record(timeline.EndpointLeaving,
			timeline.Subject{Task: r.status.Run().ID().String(), Worker: a.description.Instance()}, "the replica takes no new requests")
		a.gate.Drain(r.status.Workload())
		a.heartbeatSoon()
		return false
	}
	return a.gate.Drain(r.status.Workload()) == 0 || now.After(r.drainDeadline)
}

func (a *Agent) checkpointEvicted(ctx context.Context) {
	for _, r := range a.selectRuns(func(r *run) bool { return r.wanted && r.started && r.desired.Evict && !r.evicting && !r.hasEnded() }) {
		if err := a.Worker.Checkpoint(ctx, r.status.Run()); err != nil {
			a.Logger.Warn("cannot checkpoint task %s: %v", r.status.Run().ID(), err)
			continue
		}
		r.evicting = true
		a.record(timeline.TaskEvicting, r.status.Run(), "asked to checkpoint and end")
		notify(a.reconcileNow)
	}
}

func (a *Agent) renew(ctx context.Context) { a.renewFor(ctx, a.Timing.TaskLease) }

// extendLeases renews the leases for twice their time, so that the next incarnation of the agent can adopt the tasks.
func (a *Agent) extendLeases(ctx context.Context) { a.renewFor(ctx, 2*a.Timing.TaskLease) }

func (a *Agent) renewFor(ctx context.Context, lease time.Duration) {
	running := a.selectRuns(func(r *run) bool { return r.started && !r.hasEnded() })
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

// setReplicas passes the running replicas to the gate.
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

// replicaOf returns the gate's view of a replica, with the smaller limits of the worker and of the table; limits that the
// table does not set are the worker's.
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

// removeEnded removes the runs whose end the leader has committed.
func (a *Agent) removeEnded(ctx context.Context, acknowledged []control.Run) {
	for _, ended := range acknowledged {
		key := ended.Decode()
		err := a.Worker.Forget(ctx, key)
		if err != nil && !fault.Is(err, fault.NotFound) {
			continue
		}
		a.mu.Lock()
		delete(a.runs, key)
		a.mu.Unlock()
	}
}

// setLeaving starts or cancels the departure of the VM as decided by the platform; a.mu is held.
func (a *Agent) setLeaving(leaving bool) {
	if a.leaving == leaving || a.stopping {
		return
	}
	a.leaving = leaving
	if !leaving {
		a.gate.Resume()
		return
	}
	a.Recorder.Record(timeline.EndpointLeaving, timeline.Subject{Worker: a.description.Instance()}, "the VM is leaving")
	a.gate.Leave()
	a.heartbeatSoon()
}
