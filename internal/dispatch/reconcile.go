package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

const (
	// resendAfter is how long after its order a run may be missing from reports before it is ordered again.
	resendAfter = 900 * time.Millisecond
	// minStallPace is the pace in percent below which a task without progress does not count as stalled on its worker.
	minStallPace = 50
)

// reconcile compares the reported runs of a worker with the runs placed on it. It adds the jobs that must be saved before the reported ends may
// be acknowledged, and reports whether the ends were recorded.
func (t *term) reconcile(a *agent, r link.Report, required map[*trackedJob]uint64) bool {
	h := t.hosts.get(job.Host{VM: r.VM, Incarnation: r.Incarnation()})
	if h == nil || !t.confirms(r) {
		return false
	}
	for _, e := range r.Ended {
		if id, ok := e.TaskID(); ok {
			t.resolveEnded(id, e.Number)
			t.recordEnd(id, e.Number, job.End(e.End), e.Checkpoint, a.host)
			if tracked := t.jobs[id.Job]; tracked != nil {
				required[tracked] = tracked.version
			}
		}
	}
	for _, rejected := range r.Rejected {
		t.handleRejected(h, rejected, r)
	}
	t.recordSettled(h, r)
	if !r.Unreachable {
		t.releaseKept(h, r)
		t.compareRuns(h, r)
		t.sample(h, r)
	}
	return true
}

// handleRejected removes a run whose start was rejected and makes its task placeable again.
func (t *term) handleRejected(h *hostState, r link.Rejected, report link.Report) {
	p := h.findRun(r.Run)
	if p == nil {
		return
	}
	id, _ := r.TaskID()
	if t.staysWithdrawn(h, id, p, report) {
		return
	}
	t.logger.Info("start rejected; task=%s run=%d vm=%s reason=%s", r.Task, r.Number, h.worker.Host.VM, host.Refusal(r.Refusal))
	h.removeRun(id, r.Number)
	tracked := t.jobs[id.Job]
	if tracked == nil {
		return
	}
	switch {
	case p.handedOver:
		// The run was never ordered on this incarnation, so its rejection says nothing about the worker.
	case host.Refusal(r.Refusal) == host.RefusedTicket:
		t.dropAdvice(id, h.worker.Host)
	default:
		tracked.failedHosts[h.worker.Host] = true
		tracked.backOffAfterRefusal(id, host.Refusal(r.Refusal))
		t.observeRefusal(h, host.Refusal(r.Refusal))
	}
	if tracked.job.Unplace(id, r.Number) {
		t.markDirty(tracked)
	}
}

// compareRuns orders the starts of missing runs again and stops runs that are not placed or are stopping. Runs that are missing from an incomplete list
// of ends may have ended.
func (t *term) compareRuns(h *hostState, r link.Report) {
	reported := make(map[job.TaskID]int, len(r.Running)+len(r.Pending))
	for _, running := range r.Running {
		id, ok := running.TaskID()
		if !ok {
			continue
		}
		reported[id] = running.Number
		t.handleRunning(h, id, running)
	}
	for _, pending := range r.Pending {
		if id, ok := pending.TaskID(); ok {
			reported[id] = pending.Number
		}
	}
	for _, id := range h.sortedRuns() {
		p := h.runs[id]
		if reported[id] != p.number && !r.MoreEnds && p.committed && !p.stopping && time.Since(p.startSentAt) > resendAfter {
			t.orderStart(h.worker.Host, id, p)
		}
		if reported[id] != p.number && p.stopping && time.Since(p.stopSentAt) > resendAfter {
			t.sendStop(h.worker.Host, id, p)
		}
	}
}

// handleRunning records the state of a run that the worker reports, or stops it if it is not placed there or is stopping.
func (t *term) handleRunning(h *hostState, id job.TaskID, r link.Running) {
	p := h.runs[id]
	if p == nil || p.number != r.Number {
		t.recordUnplacedRun(h, id)
		t.orderStop(h.worker.Host, id, r.Number)
		return
	}
	if p.stopping {
		if time.Since(p.stopSentAt) > resendAfter {
			t.sendStop(h.worker.Host, id, p)
		}
		return
	}
	if tracked := t.jobs[id.Job]; tracked != nil {
		tracked.job.RecordStarted(id, r.Number)
		tracked.unsavedCheckpoints = tracked.job.RecordCheckpoint(id, r.Number, r.Checkpoint) || tracked.unsavedCheckpoints
	}
	if !r.Starting {
		t.recordStartupSurvival(h, id, p)
	}
	p.measurement, p.reportedAt, p.neverHad = r.Measurement, time.Now(), false
	p.recordOverTarget()
	p.recordPace(r.Pace)
	p.updateProgress(r.Percent, r.Pace)
}
