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

// agentView is what the lead knows of one agent.
type agentView struct {
	peer     *rpc.Peer
	boot     string
	profile  control.Profile
	capacity resource.Vector
	heard    time.Time
	applied  control.Position
	leaving  bool
	stopping bool
	pressed  bool
	evict    bool
	statuses map[task.Run]status
	usage    map[task.Run]resource.Vector
	latency  map[string]control.Latency
	health   probation.Record
	desired  []control.DesiredRun
	revision uint64
	// base is what the agent is known to have been told.
	base         []control.DesiredRun
	baseRevision uint64
}

// status is what an agent says of a run that has not ended.
type status struct {
	workload string
	state    task.State
	serves   bool
}

var workerProbation = probation.Policy{Failures: 3, Wait: 10 * time.Second}

const missedBeats = 4

// isHeard reports whether the agent was heard of lately.
func (a *agentView) isHeard(now time.Time, heartbeat time.Duration) bool {
	return now.Sub(a.heard) < missedBeats*heartbeat
}

// closed says why the worker takes no new task; l.mu is held.
func (l *Leader) closed(instance string, a *agentView, now time.Time) placement.Reason {
	switch {
	case a.stopping || l.listed[instance] != vmlist.Live || !a.isHeard(now, l.Timing.Heartbeat):
		return placement.WorkerLeaving
	case !workerProbation.Allows(&a.health, now):
		return placement.WorkerProbation
	default:
		return placement.Chosen
	}
}

// state is closed as a word for operators; l.mu is held.
func (l *Leader) state(instance string, a *agentView, now time.Time) string {
	switch {
	case l.listed[instance] == vmlist.Gone:
		return "gone"
	case !a.isHeard(now, l.Timing.Heartbeat):
		return "silent"
	case a.stopping || l.isLeaving(instance):
		return "leaving"
	case a.health.OnProbation():
		return "probation"
	case a.pressed:
		return "pressed"
	default:
		return "live"
	}
}

// isLeaving reports whether the list says that a VM is being taken away; l.mu is held.
func (l *Leader) isLeaving(instance string) bool { return l.listed[instance] == vmlist.Leaving }

// workers returns the workers of the cell as a plan sees them, ordered by instance; l.mu is held.
func (l *Leader) workers(now time.Time) []scheduling.Worker {
	workers := make([]scheduling.Worker, 0, len(l.agents))
	for instance, a := range l.agents {
		bands := make(map[string]interference.Band, len(a.latency))
		worst := 0.0
		for service, y := range a.latency {
			bands[service] = interference.BandOf(y.Load)
			worst = max(worst, y.Ratio)
		}
		bears := remedy.DefaultPolicy().Tolerance(worst)
		w := scheduling.NewWorker(instance, a.capacity, a.profile.Rack)
		workers = append(workers, w.WithClosed(l.closed(instance, a, now)).WithBatchBlocked(a.pressed).WithTolerance(bears).WithBands(bands))
	}
	slices.SortFunc(workers, func(a, b scheduling.Worker) int {
		if a.Instance() < b.Instance() {
			return -1
		}
		return 1
	})
	return workers
}

// snapshot is what a plan sees at a moment; l.mu is held.
func (l *Leader) snapshot(now time.Time) scheduling.Snapshot {
	return scheduling.NewSnapshot(now, l.table, l.workers(now), l.share).
		WithEstimates(l.estimates).WithModel(l.model).WithNotBefore(l.notBefore)
}

// desiredRuns is all that an instance is to run by the document; l.mu is held.
//
// A replica that moves is stopped by being left out, after its requests.
func (l *Leader) desiredRuns(d *cell.Document, instance string) []control.DesiredRun {
	placed := d.PlacedOn(instance)
	runs := make([]control.DesiredRun, 0, len(placed))
	for _, t := range placed {
		if _, moves := l.evicting[t.Run()]; !moves || !t.IsService() {
			runs = append(runs, l.desiredRun(t))
		}
	}
	return runs
}

// desiredRun is a task with what its agent needs to know of the workload; l.mu is held.
func (l *Leader) desiredRun(t cell.Task) control.DesiredRun {
	run := control.DesiredRun{
		Run: control.EncodeRun(t.Run()), Workload: t.Workload(), Service: t.IsService(),
		Size: control.EncodeSize(t.Size()), Checkpoint: t.Checkpoint(),
	}
	_, run.Evict = l.evicting[t.Run()]
	r, ok := l.table.Row(t.Workload())
	switch {
	case !ok:
	case t.IsService():
		run.Concurrency, run.Queue, run.TargetMillis = r.Concurrency(), r.Queue(), r.Target().Milliseconds()
	default:
		run.Weight = r.Weight()
	}
	return run
}

// publish works out anew what each agent is to run, and has the changes sent.
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
	case l.pushes <- instance:
	default:
		// The next heartbeat brings what a full queue leaves out.
	}
}
