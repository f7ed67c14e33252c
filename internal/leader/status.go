package leader

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// Status returns the status of the cell for operators.
func (l *Leader) Status(_ context.Context, _ *rpc.Peer, _ control.StatusQuery) (control.CellStatus, error) {
	d, _, _ := l.document.Current()
	all := append(slices.Clone(d.EndedJobs()), d.Jobs()...)
	jobs := make([]control.Job, 0, len(all))
	for _, j := range all {
		jobs = append(jobs, l.jobWire(d, j))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return control.CellStatus{
		Cell: l.Cell, Leader: l.Agent, Epoch: l.epoch, StoreUp: l.storeUp, TableVersion: l.table.Version(),
		Commits: l.commits, DocumentSize: l.document.Size(), Jobs: jobs,
		Workers: l.workerStatuses(d, time.Now()), Services: l.serviceStatuses(d),
	}, nil
}

// workerStatuses returns the status of all workers, including those with tasks that never sent this leader a heartbeat, such as a VM
// that died together with the previous leader; l.mu is held.
func (l *Leader) workerStatuses(d *cell.Document, now time.Time) []control.WorkerStatus {
	committed := make(map[string]resource.Vector)
	tasks := make(map[string]int)
	for _, t := range d.Tasks() {
		committed[t.Instance()] = committed[t.Instance()].Add(t.Size())
		tasks[t.Instance()]++
	}
	statuses := make([]control.WorkerStatus, 0, len(l.agents))
	for instance, a := range l.agents {
		statuses = append(statuses, control.WorkerStatus{
			Instance: instance, Rack: a.profile.Rack, State: l.stateName(instance, a, now), Tasks: tasks[instance],
			Committed: committed[instance].String(), Share: committed[instance].DominantShare(a.capacity),
			HeartbeatAgeMillis: now.Sub(a.lastHeartbeat).Milliseconds(), Requests: a.profile.Requests, AgentBoot: a.boot,
			Accelerators: a.capacity.Accelerators(),
		})
	}
	for instance, count := range tasks {
		if _, known := l.agents[instance]; instance == "" || known {
			continue
		}
		statuses = append(statuses, control.WorkerStatus{
			Instance: instance, State: l.stateName(instance, &agentView{}, now), Tasks: count, Committed: committed[instance].String(),
			HeartbeatAgeMillis: now.Sub(l.startedAt).Milliseconds(),
		})
	}
	slices.SortFunc(statuses, func(a, b control.WorkerStatus) int { return strings.Compare(a.Instance, b.Instance) })
	return statuses
}

// serviceStatuses returns the replicas and latency of each service relative to its target; l.mu is held.
func (l *Leader) serviceStatuses(d *cell.Document) []control.ServiceStatus {
	var statuses []control.ServiceStatus
	for _, r := range l.table.Rows() {
		if r.Kind() != table.Service {
			continue
		}
		s := control.ServiceStatus{
			Service: r.Workload(), Replicas: d.Replicas(r.Workload()), TargetMillis: r.Target().Milliseconds(),
		}
		for _, a := range l.agents {
			s.Running += a.running(r.Workload())
			s.Ratio = max(s.Ratio, a.latency[r.Workload()].Ratio)
		}
		if reason, ok := l.waiting[r.Workload()]; ok {
			s.Waiting = reason.String()
		}
		statuses = append(statuses, s)
	}
	return statuses
}

func (a *agentView) running(service string) int {
	count := 0
	for _, s := range a.statuses {
		if s.workload == service && s.state == task.Running {
			count++
		}
	}
	return count
}

// Explain returns why a task is placed where it is, or why it waits.
func (l *Leader) Explain(_ context.Context, _ *rpc.Peer, q control.ExplainQuery) (control.Explanation, error) {
	id, err := task.ParseID(q.Task)
	if err != nil {
		return control.Explanation{}, err
	}
	d, _, _ := l.document.Current()
	t, ok := d.Task(id)
	if !ok {
		return l.explainUnplaced(d, id)
	}
	explanation := control.Explanation{
		Task: q.Task, Workload: t.Workload(), Instance: t.Instance(), Incarnation: uint64(t.Incarnation()),
		Checkpoint: t.Checkpoint(), Failures: t.Failures(), Evictions: t.Evictions(), State: "waiting",
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !t.IsPlaced() {
		explanation.Reason = l.waitingReason(id)
		return explanation, nil
	}
	explanation.Size, explanation.State = t.Size().String(), "placed"
	explanation.Reason = "it had the lowest cost of the workers with enough free capacity"
	if a, ok := l.agents[t.Instance()]; ok {
		if s, found := a.statuses[t.Run()]; found {
			explanation.State = s.state.String()
		}
		if !a.isReachable(time.Now(), l.Timing.Heartbeat) {
			explanation.Reason = "its agent is unreachable; it moves once the agent confirms a stop or the platform lists the VM as gone"
		}
	}
	if _, ok := l.evicting[t.Run()]; ok {
		explanation.Reason = "it is being checkpointed to run elsewhere"
	}
	return explanation, nil
}

func (l *Leader) explainUnplaced(d *cell.Document, id task.ID) (control.Explanation, error) {
	j, ok := d.Job(id.Job())
	if !ok || id.Index() >= j.Tasks() {
		return control.Explanation{}, fault.New(fault.NotFound, "%s has no task %s", l.Cell, id)
	}
	explanation := control.Explanation{Task: id.String(), Workload: j.Workload(), State: j.State().String()}
	if id.Index() < j.Tasks()-j.Unstarted() {
		explanation.Reason = "it has ended"
		return explanation, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	explanation.State, explanation.Reason = "waiting", l.waitingReason(id)
	return explanation, nil
}

// waitingReason returns why a task waits; l.mu is held.
func (l *Leader) waitingReason(id task.ID) string {
	if until, ok := l.notBefore[id]; ok && time.Now().Before(until) {
		return "it failed and waits before its next attempt"
	}
	if reason, ok := l.waiting[id.Job()]; ok {
		return reason.String()
	}
	return "it waits for the next plan"
}

// Timeline returns the events of the cell after a stamp, as recorded by all reachable agents.
func (l *Leader) Timeline(ctx context.Context, _ *rpc.Peer, q control.TimelineQuery) ([]timeline.WireEvent, error) {
	l.mu.Lock()
	var peers []*rpc.Peer
	for _, a := range l.agents {
		if a.peer != nil && a.isReachable(time.Now(), l.Timing.Heartbeat) {
			peers = append(peers, a.peer)
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	results := make(chan []timeline.WireEvent, len(peers))
	for _, p := range peers {
		go func() {
			events, err := rpc.Call[control.TimelineQuery, []timeline.WireEvent](ctx, p, control.MethodAgentTimeline, q)
			if err != nil {
				l.Logger.Debug("cannot read an agent's events: %v", err)
			}
			results <- events
		}()
	}
	events := []timeline.WireEvent{}
	for range peers {
		events = append(events, <-results...)
	}
	return events, nil
}
