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
func (l *Leader) Heartbeat(_ context.Context, p *rpc.Peer, beat control.Heartbeat) (control.HeartbeatAnswer, error) {
	d, _, loaded := l.document.Current()
	if !loaded {
		return control.HeartbeatAnswer{}, fault.New(fault.Unavailable, "the leader is not ready")
	}
	now := time.Now()
	l.mu.Lock()
	agent, known := l.recordHeartbeat(p, &beat, now)
	if !known {
		l.mu.Unlock()
		return control.HeartbeatAnswer{Known: false}, nil
	}
	answer, operations := control.HeartbeatAnswer{Known: true, Epoch: l.epoch, LeaseExpired: !l.holdsLease(now)}, []*operation(nil)
	// A leader whose lease has expired may have older state than its successor, so it decides nothing.
	if l.holdsLease(now) {
		answer.Acked, operations = l.splitReports(d, agent, &beat)
		if agent.revision > 0 && agent.applied != l.position(agent) {
			answer.Desired = l.desired(agent)
		}
	}
	isNew := agent.revision == 0
	l.mu.Unlock()
	if beat.Profile != nil || len(beat.Statuses) > 0 || len(beat.Removed) > 0 {
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
func (l *Leader) recordHeartbeat(p *rpc.Peer, beat *control.Heartbeat, now time.Time) (*agentView, bool) {
	agent, ok := l.agents[beat.Instance]
	if !ok || agent.boot != beat.Boot {
		if beat.Profile == nil {
			return nil, false
		}
		created := newAgentView(beat)
		if ok {
			created.probation = agent.probation
		}
		l.agents[beat.Instance], agent = created, created
	}
	changed := agent.stopping != beat.Stopping || agent.batchBlocked != beat.BatchBlocked || !ok
	agent.peer, agent.lastHeartbeat, agent.applied = p, now, beat.Applied
	agent.stopping, agent.batchBlocked, agent.evictionRequested = beat.Stopping, beat.BatchBlocked, beat.Evict
	changed = agent.updateStatuses(beat) || changed
	l.checkBase(agent, beat.Received)
	l.recordMeasurements(agent, beat, now)
	if changed || beat.Evict {
		l.dirty = true
		l.notify()
	}
	return agent, true
}

func newAgentView(beat *control.Heartbeat) *agentView {
	return &agentView{
		boot: beat.Boot, profile: *beat.Profile, capacity: beat.Profile.Capacity.Decode(),
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
func (a *agentView) updateStatuses(beat *control.Heartbeat) bool {
	before := a.statuses
	if beat.Profile != nil {
		a.statuses = make(map[task.Run]status, len(beat.Statuses))
	}
	changed := len(beat.Removed) > 0 || (beat.Profile != nil && len(before) != len(beat.Statuses))
	for _, s := range beat.Statuses {
		updated := status{workload: s.Workload, state: task.ParseState(s.State), serves: s.IsReplica}
		changed = changed || before[s.Run.Decode()] != updated
		a.statuses[s.Run.Decode()] = updated
	}
	for _, run := range beat.Removed {
		delete(a.statuses, run.Decode())
	}
	return changed
}

// splitReports separates reports that need no commit, which it acknowledges, from those still to commit. l.mu is held.
func (l *Leader) splitReports(d *cell.Document, agent *agentView, beat *control.Heartbeat) ([]control.Run, []*operation) {
	var acknowledged []control.Run
	var operations []*operation
	for _, r := range beat.Reports {
		run := r.Run.Decode()
		if !isCurrent(d, run, beat.Instance) {
			acknowledged = append(acknowledged, r.Run)
			continue
		}
		operations = append(operations, l.reportOperation(r))
	}
	return acknowledged, append(operations, l.missingRuns(d, agent, beat)...)
}

func isCurrent(d *cell.Document, run task.Run, instance string) bool {
	t, ok := d.Task(run.ID())
	return ok && t.Incarnation() == run.Incarnation() && t.Instance() == instance
}

// missingRuns returns operations that end runs which the document places on the agent but which are neither desired nor reported by it.
//
// It returns none until the agent has applied the current position, after which the agent starts no such run.
func (l *Leader) missingRuns(d *cell.Document, agent *agentView, beat *control.Heartbeat) []*operation {
	if agent.revision == 0 || beat.Applied != l.position(agent) {
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
		if t.Instance() != beat.Instance || isWanted || isPresent || isReported(beat, t.Run()) {
			continue
		}
		missing = append(missing, l.reportOperation(control.Report{Run: control.EncodeRun(t.Run()), State: task.Stopped.String()}))
	}
	return missing
}

func isReported(beat *control.Heartbeat, run task.Run) bool {
	for _, r := range beat.Reports {
		if r.Run.Decode() == run {
			return true
		}
	}
	return false
}
