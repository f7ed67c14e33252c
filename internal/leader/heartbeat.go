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
func (l *Leader) Heartbeat(_ context.Context, p *rpc.Peer, beat control.Beat) (control.BeatAnswer, error) {
	d, _, loaded := l.document.Current()
	if !loaded {
		return control.BeatAnswer{}, fault.New(fault.Unavailable, "the lead is not ready")
	}
	now := time.Now()
	l.mu.Lock()
	a, known := l.hear(p, &beat, now)
	if !known {
		l.mu.Unlock()
		return control.BeatAnswer{Known: false}, nil
	}
	answer, ended := control.BeatAnswer{Known: true, Epoch: l.epoch, Lapsed: !l.holds(now)}, []*operation(nil)
	// A lead whose lease has lapsed may know less than the next, so it decides nothing.
	if l.holds(now) {
		answer.Acked, ended = l.readReports(d, a, &beat)
		if a.revision > 0 && a.applied != l.position(a) {
			answer.Desired = l.desired(a)
		}
	}
	isNew := a.revision == 0
	l.mu.Unlock()
	if beat.Profile != nil || len(beat.Statuses) > 0 || len(beat.Gone) > 0 {
		l.publishSummary()
	}
	for _, e := range ended {
		l.enqueue(e)
	}
	if isNew {
		l.publish()
	}
	return answer, nil
}

// hear takes note of what a beat says; an agent that the lead does not know must give its profile. l.mu is held.
func (l *Leader) hear(p *rpc.Peer, beat *control.Beat, now time.Time) (*agentView, bool) {
	a, ok := l.agents[beat.Instance]
	if !ok || a.boot != beat.Boot {
		if beat.Profile == nil {
			return nil, false
		}
		fresh := newAgentView(beat)
		if ok {
			fresh.health = a.health
		}
		l.agents[beat.Instance], a = fresh, fresh
	}
	changed := a.stopping != beat.Stopping || a.pressed != beat.Pressed || !ok
	a.peer, a.heard, a.applied = p, now, beat.Applied
	a.stopping, a.pressed, a.evict = beat.Stopping, beat.Pressed, beat.Evict
	changed = a.takeStatuses(beat) || changed
	l.noteBase(a, beat.Have)
	l.learn(a, beat, now)
	if changed || beat.Evict {
		l.dirty = true
		l.signal()
	}
	return a, true
}

func newAgentView(beat *control.Beat) *agentView {
	return &agentView{
		boot: beat.Boot, profile: *beat.Profile, capacity: beat.Profile.Capacity.Decode(),
		statuses: make(map[task.Run]status),
		usage:    make(map[task.Run]resource.Vector),
		latency:  make(map[string]control.Latency),
	}
}

// noteBase compares what the agent was told with what the lead believes that it was told; l.mu is held.
func (l *Leader) noteBase(a *agentView, have control.Position) {
	switch have {
	case l.position(a):
		a.setBase()
	case control.Position{Epoch: l.epoch, Revision: a.baseRevision}:
	default:
		a.base, a.baseRevision = nil, 0
	}
}

// takeStatuses takes over the statuses that changed, or all of them with a first beat, and reports whether any did.
func (a *agentView) takeStatuses(beat *control.Beat) bool {
	before := a.statuses
	if beat.Profile != nil {
		a.statuses = make(map[task.Run]status, len(beat.Statuses))
	}
	changed := len(beat.Gone) > 0 || (beat.Profile != nil && len(before) != len(beat.Statuses))
	for _, s := range beat.Statuses {
		now := status{workload: s.Workload, state: task.ParseState(s.State), serves: s.Serves}
		changed = changed || before[s.Run.Decode()] != now
		a.statuses[s.Run.Decode()] = now
	}
	for _, run := range beat.Gone {
		delete(a.statuses, run.Decode())
	}
	return changed
}

// readReports sorts reports into those the document has taken in and those still to commit. l.mu is held.
func (l *Leader) readReports(d *cell.Document, a *agentView, beat *control.Beat) ([]control.Run, []*operation) {
	var acked []control.Run
	var ended []*operation
	for _, r := range beat.Reports {
		run := r.Run.Decode()
		if !isCurrent(d, run, beat.Instance) {
			acked = append(acked, r.Run)
			continue
		}
		ended = append(ended, l.reportOperation(r))
	}
	return acked, append(ended, l.missingRuns(d, a, beat)...)
}

func isCurrent(d *cell.Document, run task.Run, instance string) bool {
	t, ok := d.Task(run.ID())
	return ok && t.Incarnation() == run.Incarnation() && t.Instance() == instance
}

// missingRuns finds runs that the document places on the agent, that it is no longer to run, and that it does not have.
//
// The agent has taken the present position, after which it starts none of them any more.
func (l *Leader) missingRuns(d *cell.Document, a *agentView, beat *control.Beat) []*operation {
	if a.revision == 0 || beat.Applied != l.position(a) {
		return nil
	}
	wanted := make(map[task.Run]struct{}, len(a.desired))
	for _, r := range a.desired {
		wanted[r.Run.Decode()] = struct{}{}
	}
	var missing []*operation
	for _, t := range d.Tasks() {
		_, isWanted := wanted[t.Run()]
		_, hasIt := a.statuses[t.Run()]
		if t.Instance() != beat.Instance || isWanted || hasIt || isReported(beat, t.Run()) {
			continue
		}
		missing = append(missing, l.reportOperation(control.Report{Run: control.EncodeRun(t.Run()), State: task.Stopped.String()}))
	}
	return missing
}

func isReported(beat *control.Beat, run task.Run) bool {
	for _, r := range beat.Reports {
		if r.Run.Decode() == run {
			return true
		}
	}
	return false
}
