package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

const (
	// resendAfter is how long after its order a run may be missing from a report before it is ordered again.
	resendAfter = 900 * time.Millisecond
	// minStallPace is the pace in percent below which a task that stands still is not held against its worker.
	minStallPace = 50
)

// reconcile compares what the worker has with what is placed there. It adds the jobs that must be saved before the reported
// ends may go, and reports whether the ends were looked at.
func (t *term) reconcile(a *agent, r link.Report, needed map[*trackedJob]uint64) bool {
	h := t.hosts.get(job.Host{VM: r.VM, Incarnation: r.Incarnation()})
	if h == nil || !r.Fenced || r.Epoch != t.epoch {
		return false
	}
	for _, e := range r.Ended {
		if id, ok := e.TaskID(); ok {
			t.resolveEnded(id, e.Number)
			t.recordEnd(id, e.Number, job.End(e.End), e.Checkpoint, a.host)
			if known := t.jobs[id.Job]; known != nil {
				needed[known] = known.version
			}
		}
	}
	for _, rejected := range r.Rejected {
		t.handleRejected(h, rejected)
	}
	switch {
	case !r.Silent:
		t.compareRuns(h, r)
		t.sample(h, r)
	case r.Lapsed:
		t.markUnreachable(h, "the worker is silent and its time is over")
	}
	return true
}

// handleRejected takes back a run that never started.
func (t *term) handleRejected(h *hostState, r link.Rejected) {
	p := h.findRun(r.Run)
	if p == nil {
		return
	}
	id, _ := r.TaskID()
	t.logger.Info("start rejected; task=%s run=%d vm=%s reason=%s", r.Task, r.Number, h.worker.Host.VM, host.Refusal(r.Refusal))
	h.removeRun(id, r.Number)
	known := t.jobs[id.Job]
	if known == nil {
		return
	}
	switch {
	case p.handedOver:
		// It was never ordered there, and its refusal says nothing of the worker.
	case host.Refusal(r.Refusal) == host.RefusedTicket:
		t.dropAdvice(id)
	default:
		known.failedHosts[h.worker.Host] = true
		known.backOffAfterRefusal(id, host.Refusal(r.Refusal))
	}
	if known.job.Unplace(id, r.Number) {
		t.markDirty(known)
	}
}

// compareRuns orders again what is missing and stops what should not run.
func (t *term) compareRuns(h *hostState, r link.Report) {
	present := make(map[job.TaskID]int, len(r.Running)+len(r.Pending))
	for _, running := range r.Running {
		id, ok := running.TaskID()
		if !ok {
			continue
		}
		present[id] = running.Number
		t.handleRunning(h, id, running)
	}
	for _, pending := range r.Pending {
		if id, ok := pending.TaskID(); ok {
			present[id] = pending.Number
		}
	}
	for _, id := range h.sortedRuns() {
		p := h.runs[id]
		if present[id] != p.number && p.committed && !p.stopping && time.Since(p.startSentAt) > resendAfter {
			t.orderStart(h.worker.Host, id, p)
		}
		if present[id] != p.number && p.stopping && time.Since(p.stopSentAt) > resendAfter {
			t.sendStop(h.worker.Host, id, p)
		}
	}
}

// handleRunning takes note of a run that the worker has.
func (t *term) handleRunning(h *hostState, id job.TaskID, r link.Running) {
	p := h.runs[id]
	if p == nil || p.number != r.Number {
		t.orderStop(h.worker.Host, id, r.Number)
		return
	}
	if p.stopping {
		if time.Since(p.stopSentAt) > resendAfter {
			t.sendStop(h.worker.Host, id, p)
		}
		return
	}
	if known := t.jobs[id.Job]; known != nil {
		known.unsavedCheckpoints = known.job.RecordCheckpoint(id, r.Number, r.Checkpoint) || known.unsavedCheckpoints
	}
	if !r.Fresh {
		t.recordStartupSurvival(h, id, p)
	}
	p.measurement, p.reportedAt = r.Measurement, time.Now()
	p.recordOverTarget()
	p.recordPace(r.Pace)
	p.updateProgress(r.Percent, r.Pace)
}
