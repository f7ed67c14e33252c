package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// completeIdentity gives a host of which a process of the release before left the time of birth out the identity that its agent reports now. Its runs
// stay placed: if it was another incarnation, they are missing there and are ordered again under the same numbers.
func (t *term) completeIdentity(reported job.Host) {
	for _, h := range t.hosts.onVM(reported.VM) {
		known := h.worker.Host
		if known == reported || !known.Incarnation.MayEqual(reported.Incarnation) || t.hosts.get(reported) != nil {
			continue
		}
		t.logger.Info("worker incarnation identified; vm=%s instance=%s before=%s", reported.VM, reported.Incarnation, known.Incarnation)
		t.hosts.rename(h, reported)
		for id, p := range h.runs {
			t.rehost(id, p, reported)
		}
		if a := t.agents[reported.VM]; a != nil && a.host == known {
			// The numbers of ends may be those of another incarnation.
			a.host, a.acknowledgedEnds = reported, 0
		}
		if lost, unseen := t.unreachable[known]; unseen {
			delete(t.unreachable, known)
			t.unreachable[reported] = lost
		}
	}
}

// rehost stores that a placed run is on another host.
func (t *term) rehost(id job.TaskID, p *placedRun, host job.Host) {
	if known := t.jobs[id.Job]; known != nil && known.job.Rehost(id, p.number, host) {
		t.markDirty(known)
	}
}

// retireIncarnation takes back the runs of an incarnation that has ended, as its agent reports or, with no crash reported, since another one is on its VM.
//
// A start that the worker may still carry out is not lost with the incarnation that it was meant for: the next one under the same id would
// carry it out, beside the run that replaces it. It is kept until that one has reported, and is stopped there first. present is the incarnation
// that the agent reports now, which the worker may not have fenced yet, zero where it knows of none.
func (t *term) retireIncarnation(a *agent, h *hostState, told *link.Crash, present incarnation.ID, reason string) {
	if !h.ended {
		t.countLosses(a, h, told)
	}
	ended, settled := h.worker.Host.Incarnation, settledRuns(told)
	var lost []job.TaskID
	for _, id := range h.sortedRuns() {
		p := h.runs[id]
		switch {
		case !p.committed || p.startSettled(settled, link.NewRun(id, p.number)):
			lost = append(lost, id)
		case !present.IsZero() && !present.SameWorker(ended):
			t.recordLateStart(h.worker.Host, link.NewRun(id, p.number))
			lost = append(lost, id)
		case present != ended && a.host.Incarnation == present:
			t.handOver(h, t.ensureHost(a.host), id)
		}
	}
	t.recordLostRuns(h, lost, reason)
}

// startSettled reports whether no start of the run may still be carried out, by what the agent reports or else by what the leader has seen.
func (p *placedRun) startSettled(reported map[link.Run]bool, run link.Run) bool {
	if settled, known := reported[run]; known {
		return settled
	}
	return !p.reportedAt.IsZero()
}

// settledRuns returns the runs of an incarnation that has ended by what its agent reports, with whether no start of them may still be carried out.
func settledRuns(told *link.Crash) map[link.Run]bool {
	settled := make(map[link.Run]bool)
	if told == nil {
		return settled
	}
	for _, r := range told.Runs {
		settled[r.Run] = r.Settled
	}
	return settled
}

// lateStart is a start that a worker may still carry out, by the id that it was sent to.
type lateStart struct {
	vm, worker string
	run        link.Run
}

// recordLateStart records a start whose task is placed anew, though a later incarnation under the same id may carry it out.
func (t *term) recordLateStart(h job.Host, run link.Run) {
	t.lateStarts.Add(lateStart{vm: h.VM, worker: h.Incarnation.Worker(), run: run}, time.Now())
}

// stopLateStarts orders the stop of starts that an incarnation which has just reported may still carry out.
func (t *term) stopLateStarts(present job.Host) {
	for order := range t.lateStarts {
		id, known := order.run.TaskID()
		reached := order.vm == present.VM && order.worker == present.Incarnation.Worker()
		if known && reached && t.lateStarts.Has(order, time.Now()) {
			t.orderStop(present, id, order.run.Number)
		}
	}
}

// handOver stops a run on the next incarnation of the worker that it was ordered on; its task waits for the end of that.
func (t *term) handOver(from, to *hostState, id job.TaskID) {
	p := from.runs[id]
	from.removeRun(id, p.number)
	to.addRun(id, p.step, p.number)
	to.runs[id].handedOver = true
	t.rehost(id, p, to.worker.Host)
	t.logger.Info("start is stopped on the next incarnation; task=%s run=%d vm=%s instance=%s",
		id, p.number, to.worker.Host.VM, to.worker.Host.Incarnation)
	t.stopRun(to.worker.Host, id, to.runs[id])
}
