package leader

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// Heartbeat answers the heartbeat of an agent.
func (l *Leader) Heartbeat(_ context.Context, p *rpc.Peer, heartbeat control.Heartbeat) (control.HeartbeatAnswer, error) {
	d, _, loaded := l.document.Current()
	if !loaded {
		return control.HeartbeatAnswer{}, fault.New(fault.Unavailable, "the leader is not ready")
	}
	now := time.Now()
	l.mu.Lock()
	agent, known := l.recordHeartbeat(p, &heartbeat, now)
	if !known {
		l.mu.Unlock()
		return control.HeartbeatAnswer{Known: false}, nil
	}
	answer, operations := control.HeartbeatAnswer{Known: true, Epoch: l.epoch, LeaseExpired: !l.holdsLease(now)}, []*operation(nil)
	// A leader whose lease has expired may have older state than its successor, so it decides nothing.
	if l.holdsLease(now) {
		answer.Acked, operations = l.splitReports(d, agent, &heartbeat)
		if agent.revision > 0 && agent.applied != l.position(agent) {
			answer.Desired = l.desired(agent)
		}
	}
	isNew := agent.revision == 0
	l.mu.Unlock()
	if heartbeat.Profile != nil || len(heartbeat.Statuses) > 0 || len(heartbeat.Removed) > 0 {
		l.publishSummary()
	}
	for _, o := range operations {
		l.enqueue(o)
	}
	if isNew {
		l.publish()
	}
	return answer, nil
}

// recordHeartbeat applies a heartbeat to the view of its agent, and reports false if the agent is unknown and sent no profile. l.mu is held.
func (l *Leader) recordHeartbeat(p *rpc.Peer, heartbeat *control.Heartbeat, now time.Time) (*agentView, bool) {
	agent, ok := l.agents[heartbeat.Instance]
	if !ok || agent.boot != heartbeat.Boot {
		if heartbeat.Profile == nil {
			return nil, false
		}
		created := newAgentView(heartbeat)
		if ok {
			created.probation = agent.probation
		}
		l.agents[heartbeat.Instance], agent = created, created
	}
	changed := agent.stopping != heartbeat.Stopping || agent.batchBlocked != heartbeat.BatchBlocked || !ok
	agent.peer, agent.lastHeartbeat, agent.applied = p, now, heartbeat.Applied
	agent.stopping, agent.batchBlocked, agent.evictionRequested = heartbeat.Stopping, heartbeat.BatchBlocked, heartbeat.Evict
	changed = agent.updateStatuses(heartbeat) || changed
	l.checkBase(agent, heartbeat.Received)
	l.recordMeasurements(agent, heartbeat, now)
	if changed || heartbeat.Evict {
		l.dirty = true
		l.notify()
	}
	return agent, true
}

func newAgentView(heartbeat *control.Heartbeat) *agentView {
	return &agentView{
		boot: heartbeat.Boot, profile: *heartbeat.Profile, capacity: heartbeat.Profile.Capacity.Decode(),
		statuses: make(map[task.Run]status),
		usage:    make(map[task.Run]resource.Vector),
		latency:  make(map[string]control.Latency),
	}
}

// checkBase drops the recorded base of an agent that reports another position, so that all its runs are sent again; l.mu is held.
func (l *Leader) checkBase(agent *agentView, reported control.Position) {
	switch reported {
	case l.position(agent):
		agent.setBase()
	case control.Position{Epoch: l.epoch, Revision: agent.baseRevision}:
	default:
		agent.base, agent.baseRevision = nil, 0
	}
}

// updateStatuses applies the changed statuses of a heartbeat, or all of them if it has a profile, and reports whether any changed.
func (a *agentView) updateStatuses(heartbeat *control.Heartbeat) bool {
	before := a.statuses
	if heartbeat.Profile != nil {
		a.statuses = make(map[task.Run]status, len(heartbeat.Statuses))
	}
	changed := len(heartbeat.Removed) > 0 || (heartbeat.Profile != nil && len(before) != len(heartbeat.Statuses))
	for _, s := range heartbeat.Statuses {
		updated := status{workload: s.Workload, state: task.ParseState(s.State), serves: s.IsReplica}
		changed = changed || before[s.Run.Decode()] != updated
		a.statuses[s.Run.Decode()] = updated
	}
	for _, run := range heartbeat.Removed {
		delete(a.statuses, run.Decode())
	}
	return changed
}

// splitReports separates reports that need no commit, which it acknowledges, from those still to commit. l.mu is held.
func (l *Leader) splitReports(d *cell.Document, agent *agentView, heartbeat *control.Heartbeat) ([]control.Run, []*operation) {
	var acknowledged []control.Run
	var operations []*operation
	for _, r := range heartbeat.Reports {
		run := r.Run.Decode()
		if !isCurrent(d, run, heartbeat.Instance) {
			acknowledged = append(acknowledged, r.Run)
			continue
		}
		operations = append(operations, l.reportOperation(r))
	}
	return acknowledged, append(operations, l.missingRuns(d, agent, heartbeat)...)
}

func isCurrent(d *cell.Document, run task.Run, instance string) bool {
	t, ok := d.Task(run.ID())
	return ok && t.Incarnation() == run.Incarnation() && t.Instance() == instance
}

// missingRuns returns operations that end runs which the document places on the agent but which are neither desired nor reported by it.
//
// It returns none until the agent has applied the current position, after which the agent starts no such run.
func (l *Leader) missingRuns(d *cell.Document, agent *agentView, heartbeat *control.Heartbeat) []*operation {
	if agent.revision == 0 || heartbeat.Applied != l.position(agent) {
		return nil
	}
	wanted := make(map[task.Run]struct{}, len(agent.desired))
	for _, r := range agent.desired {
		wanted[r.Run.Decode()] = struct{}{}
	}
	var missing []*operation
	for _, t := range d.Tasks() {
		_, isWanted := wanted[t.Run()]
		_, isPresent := agent.statuses[t.Run()]
		if t.Instance() != heartbeat.Instance || isWanted || isPresent || isReported(heartbeat, t.Run()) {
			continue
		}
		missing = append(missing, l.reportOperation(control.Report{Run: control.EncodeRun(t.Run()), State: task.Stopped.String()}))
	}
	return missing
}

func isReported(heartbeat *control.Heartbeat, run task.Run) bool {
	for _, r := range heartbeat.Reports {
		if r.Run.Decode() == run {
			return true
		}
	}
	return false
}
