package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// completeIdentity adds the reported start time to a host that a process of the previous release recorded without one. Its runs stay placed:
// if it was another incarnation, they are missing from the worker's reports and are ordered again under the same numbers.
func (t *term) completeIdentity(reported job.Host) {
	for _, h := range t.hosts.onVM(reported.VM) {
		previous := h.worker.Host
		if previous == reported || !previous.Incarnation.MayEqual(reported.Incarnation) || t.hosts.get(reported) != nil {
			continue
		}
		t.logger.Info("worker incarnation identified; vm=%s instance=%s before=%s", reported.VM, reported.Incarnation, previous.Incarnation)
		t.hosts.rename(h, reported)
		for id, p := range h.runs {
			t.rehost(id, p, reported)
		}
		if a := t.agents[reported.VM]; a != nil && a.host == previous {
			// The acknowledged number may belong to the ends of another incarnation.
			a.host, a.acknowledgedEnds = reported, 0
		}
		if record, found := t.unreachable[previous]; found {
			delete(t.unreachable, previous)
			t.unreachable[reported] = record
		}
	}
}

// rehost records that a placed run is on another host.
func (t *term) rehost(id job.TaskID, p *placedRun, host job.Host) {
	if tracked := t.jobs[id.Job]; tracked != nil && tracked.job.Rehost(id, p.number, host) {
		t.markDirty(tracked)
	}
}

// retireIncarnation ends the runs of an incarnation that has ended: reported is the agent's report of its end, nil if it was only replaced by
// another incarnation on its VM.
//
// A late start is not lost with the incarnation that it was sent to: the next incarnation under the same id could carry it out beside the run
// that replaces it. It stays placed until that incarnation has reported, and is stopped there first; so is a run that both have. r is the
// current report of the agent, whose incarnation may not have raised its fence yet and is zero if the agent has none.
func (t *term) retireIncarnation(a *agent, h *hostState, reported *link.Crash, r link.Report, reason string) {
	current := r.Incarnation()
	h.markOnNext(reported, r)
	t.forgetWorker(h.worker.Host)
	if !h.ended {
		t.countLosses(a, h, reported)
	}
	ended, settled := h.worker.Host.Incarnation, settledRuns(reported)
	var lost []job.TaskID
	for _, id := range h.sortedRuns() {
		p := h.runs[id]
		switch {
		case !p.committed || !p.onNext && t.startSettled(h, id, settled, r):
			lost = append(lost, id)
		case !current.IsZero() && !current.SameWorker(ended):
			t.recordLateStart(h.worker.Host, link.NewRun(id, p.number))
			lost = append(lost, id)
		case current != ended && a.host.Incarnation == current:
			t.handOver(h, t.ensureHost(a.host), id)
		}
	}
	t.recordLostRuns(h, lost, reason)
}

// markOnNext marks the runs of an ended incarnation that the next one has as well, by the report of its end or by those that the next one reports.
func (h *hostState) markOnNext(reported *link.Crash, r link.Report) {
	mark := func(run link.Run) {
		if p := h.findRun(run); p != nil {
			p.onNext = true
		}
	}
	if reported != nil {
		for _, run := range reported.Next {
			mark(run)
		}
	}
	if current := r.Incarnation(); current == h.worker.Host.Incarnation || !current.SameWorker(h.worker.Host.Incarnation) {
		return
	}
	for _, running := range r.Running {
		mark(running.Run)
	}
}

// startSettled reports whether no start of the run may still be carried out, by the agent's report of the crash or, without one, by its earlier reports.
func (t *term) startSettled(h *hostState, id job.TaskID, reported map[link.Run]bool, r link.Report) bool {
	p := h.runs[id]
	if h.mayReuseID() && t.isOutstanding(id, h.worker.Host.VM) {
		return false
	}
	if settled, found := reported[link.NewRun(id, p.number)]; found {
		return settled && (p.settled || !h.mayReuseID() || p.startsKnown(r))
	}
	return !p.reportedAt.IsZero() && p.settled
}

// settledRuns returns the runs in the report of an ended incarnation, each with whether no start of it may still be carried out.
func settledRuns(reported *link.Crash) map[link.Run]bool {
	settled := make(map[link.Run]bool)
	if reported == nil {
		return settled
	}
	for _, r := range reported.Runs {
		settled[r.Run] = r.Settled
	}
	return settled
}

// lateStart is a start that a worker may still carry out, with the worker id that it was sent to.
type lateStart struct {
	vm, worker string
	run        link.Run
}

// recordLateStart records a late start whose task is placed again although a later incarnation under the same id may carry it out.
func (t *term) recordLateStart(h job.Host, run link.Run) {
	t.lateStarts.Add(lateStart{vm: h.VM, worker: h.Incarnation.Worker(), run: run}, time.Now())
}

// stopLateStarts orders an incarnation that reports for the first time to stop the late starts sent to its worker id.
func (t *term) stopLateStarts(current job.Host) {
	for start := range t.lateStarts {
		id, valid := start.run.TaskID()
		sameWorker := start.vm == current.VM && start.worker == current.Incarnation.Worker()
		if valid && sameWorker && t.lateStarts.Has(start, time.Now()) {
			t.orderStop(current, id, start.run.Number)
		}
	}
}

// handOver moves a run to the next incarnation of its worker and stops it there; its task is placed again once that is confirmed.
func (t *term) handOver(from, to *hostState, id job.TaskID) {
	p := from.runs[id]
	from.removeRun(id, p.number)
	to.addRun(id, p.step, p.number)
	to.runs[id].handedOver = true
	t.rehost(id, p, to.worker.Host)
	t.logger.Info("late start is stopped on the next incarnation; task=%s run=%d vm=%s instance=%s",
		id, p.number, to.worker.Host.VM, to.worker.Host.Incarnation)
	t.stopRun(to.worker.Host, id, to.runs[id])
}
