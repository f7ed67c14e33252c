package leader

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/interference"
	"github.com/saffronpulley/saffronpulley/internal/placement"
	"github.com/saffronpulley/saffronpulley/internal/probation"
	"github.com/saffronpulley/saffronpulley/internal/remedy"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/scheduling"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

// agentView is the leader's state of one agent.
type agentView struct {
	peer              *rpc.Peer
	boot              string
	profile           control.Profile
	capacity          resource.Vector
	lastHeartbeat     time.Time
	applied           control.Position
	leaving           bool
	stopping          bool
	batchBlocked      bool
	evictionRequested bool
	statuses          map[task.Run]status
	usage             map[task.Run]resource.Vector
	latency           map[string]control.Latency
	probation         probation.Record
	desired           []control.DesiredRun
	revision          uint64
	// base is the desired runs that the agent is known to have received, at baseRevision.
	base         []control.DesiredRun
	baseRevision uint64
}

// status is an agent's report of a run that has not ended.
type status struct {
	workload string
	state    task.State
	serves   bool
}

var workerProbation = probation.Policy{Failures: 3, Wait: 10 * time.Second}

const maxMissedHeartbeats = 4

// isReachable reports whether the agent's last heartbeat is recent.
func (a *agentView) isReachable(now time.Time, heartbeat time.Duration) bool {
	return now.Sub(a.lastHeartbeat) < maxMissedHeartbeats*heartbeat
}

// closedReason returns why the worker accepts no new tasks, or placement.Chosen if it does; l.mu is held.
func (l *Leader) closedReason(instance string, agent *agentView, now time.Time) placement.Reason {
	switch {
	case agent.stopping || l.vmStates[instance] != vmlist.Live || !agent.isReachable(now, l.Timing.Heartbeat):
		return placement.WorkerLeaving
	case !workerProbation.Allows(&agent.probation, now):
		return placement.WorkerProbation
	default:
		return placement.Chosen
	}
}

// stateName returns the state of the worker as shown to operators; l.mu is held.
func (l *Leader) stateName(instance string, agent *agentView, now time.Time) string {
	switch {
	case l.vmStates[instance] == vmlist.Gone:
		return "gone"
	case !agent.isReachable(now, l.Timing.Heartbeat):
		return "silent"
	case agent.stopping || l.isLeaving(instance):
		return "leaving"
	case agent.probation.OnProbation():
		return "probation"
	case agent.batchBlocked:
		return "pressed"
	default:
		return "live"
	}
}

// isLeaving reports whether a VM is being removed according to the list; l.mu is held.
func (l *Leader) isLeaving(instance string) bool { return l.vmStates[instance] == vmlist.Leaving }

// workers returns the workers of the cell as input for a plan, ordered by instance; l.mu is held.
func (l *Leader) workers(now time.Time) []scheduling.Worker {
	workers := make([]scheduling.Worker, 0, len(l.agents))
	for instance, a := range l.agents {
		bands := make(map[string]interference.Band, len(a.latency))
		worst := 0.0
		for service, latency := range a.latency {
			bands[service] = interference.BandOf(latency.Load)
			worst = max(worst, latency.Ratio)
		}
		tolerance := remedy.DefaultPolicy().Tolerance(worst)
		w := scheduling.NewWorker(instance, a.capacity, a.profile.Rack)
		workers = append(workers, w.WithClosed(l.closedReason(instance, a, now)).WithBatchBlocked(a.batchBlocked).WithTolerance(tolerance).WithBands(bands))
	}
	slices.SortFunc(workers, func(a, b scheduling.Worker) int {
		if a.Instance() < b.Instance() {
			return -1
		}
		return 1
	})
	return workers
}

// snapshot returns the input for a plan; l.mu is held.
func (l *Leader) snapshot(now time.Time) scheduling.Snapshot {
	return scheduling.NewSnapshot(now, l.table, l.workers(now), l.share).
		WithEstimates(l.estimates).WithModel(l.model).WithNotBefore(l.notBefore)
}

// desiredRuns returns all runs that the document places on an instance; l.mu is held.
//
// It omits a replica that moves elsewhere, so that the agent stops it after finishing its requests.
func (l *Leader) desiredRuns(d *cell.Document, instance string) []control.DesiredRun {
	placed := d.PlacedOn(instance)
	runs := make([]control.DesiredRun, 0, len(placed))
	for _, t := range placed {
		if _, moving := l.evicting[t.Run()]; !moving || !t.IsService() {
			runs = append(runs, l.desiredRun(t))
		}
	}
	return runs
}

// desiredRun returns the run of a task with the workload settings that its agent needs; l.mu is held.
func (l *Leader) desiredRun(t cell.Task) control.DesiredRun {
	run := control.DesiredRun{
		Run: control.EncodeRun(t.Run()), Workload: t.Workload(), Service: t.IsService(),
		Size: control.EncodeSize(t.Size()), Checkpoint: t.Checkpoint(),
	}
	_, run.Evict = l.evicting[t.Run()]
	row, ok := l.table.Row(t.Workload())
	switch {
	case !ok:
	case t.IsService():
		run.Concurrency, run.Queue, run.TargetMillis = row.Concurrency(), row.Queue(), row.Target().Milliseconds()
	default:
		run.Weight = row.Weight()
	}
	return run
}

// publish recomputes the desired runs of each agent and queues the changes for sending.
func (l *Leader) publish() {
	d, _, loaded := l.document.Current()
	if !loaded {
		return
	}
	l.mu.Lock()
	var changed []string
	for instance, a := range l.agents {
		runs, leaving := l.desiredRuns(d, instance), l.isLeaving(instance)
		if a.revision > 0 && slices.Equal(runs, a.desired) && leaving == a.leaving {
			continue
		}
		l.revision++
		a.desired, a.leaving, a.revision = runs, leaving, l.revision
		changed = append(changed, instance)
	}
	l.mu.Unlock()
	for _, instance := range changed {
		l.enqueuePush(instance)
	}
}

func (l *Leader) enqueuePush(instance string) {
	select {
	case l.pushQueue <- instance:
	default:
		// If the queue is full, the answer to the next heartbeat carries the change.
	}
}
