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
	// steadyPace is the pace in percent below which a task that stands still is not held against its worker.
	steadyPace = 50
)

// reconcile compares what the worker has with what is placed there. It adds the jobs that must be saved before the reported
// ends may go, and reports whether the ends were looked at.
func (t *term) reconcile(a *agent, r link.Report, needed map[*tracked]uint64) bool {
	h := t.hosts.get(job.Host{VM: r.VM, Incarnation: r.Incarnation()})
	if h == nil || !r.Fenced || r.Epoch != t.epoch {
		return false
	}
	for _, e := range r.Ended {
		if id, ok := e.TaskID(); ok {
			t.settleEnded(id, e.Number)
			t.apply(id, e.Number, job.End(e.End), e.Checkpoint, a.host)
			if known := t.jobs[id.Job]; known != nil {
				needed[known] = known.version
			}
		}
	}
	for _, rejected := range r.Rejected {
		t.rejected(h, rejected)
	}
	switch {
	case !r.Silent:
		t.compare(h, r)
		t.sample(h, r)
	case r.Lapsed:
		t.markUnreachable(h, "the worker is silent and its time is over")
	}
	return true
}

// rejected takes back a run that never started.
func (t *term) rejected(h *hosted, r link.Rejected) {
	p := h.run(r.Run)
	if p == nil {
		return
	}
	id, _ := r.TaskID()
	t.logger.Info("start rejected; task=%s run=%d vm=%s reason=%s", r.Task, r.Number, h.worker.Host.VM, host.Refusal(r.Refusal))
	h.remove(id, r.Number)
	known := t.jobs[id.Job]
	if known == nil {
		return
	}
	switch {
	case p.handedOver:
		// It was never ordered there, and its refusal says nothing of the worker.
	case host.Refusal(r.Refusal) == host.RefusedAdvice:
		t.forgetAdvice(id)
	default:
		known.failed[h.worker.Host] = true
		known.refused(id, host.Refusal(r.Refusal))
	}
	if known.job.Unplace(id, r.Number) {
		t.touch(known)
	}
}

// compare orders again what is missing and stops what should not run.
func (t *term) compare(h *hosted, r link.Report) {
	present := make(map[job.TaskID]int, len(r.Running)+len(r.Pending))
	for _, running := range r.Running {
		id, ok := running.TaskID()
		if !ok {
			continue
		}
		present[id] = running.Number
		t.running(h, id, running)
	}
	for _, pending := range r.Pending {
		if id, ok := pending.TaskID(); ok {
			present[id] = pending.Number
		}
	}
	for _, id := range h.runsInOrder() {
		p := h.runs[id]
		if present[id] != p.run && p.committed && !p.stopping && time.Since(p.sent) > resendAfter {
			t.orderStart(h.worker.Host, id, p)
		}
		if present[id] != p.run && p.stopping && time.Since(p.stopSent) > resendAfter {
			t.sendStop(h.worker.Host, id, p)
		}
	}
}

// running takes note of a run that the worker has.
func (t *term) running(h *hosted, id job.TaskID, r link.Running) {
	p := h.runs[id]
	if p == nil || p.run != r.Number {
		t.orderStop(h.worker.Host, id, r.Number)
		return
	}
	if p.stopping {
		if time.Since(p.stopSent) > resendAfter {
			t.sendStop(h.worker.Host, id, p)
		}
		return
	}
	if known := t.jobs[id.Job]; known != nil {
		known.unsaved = known.job.Save(id, r.Number, r.Checkpoint) || known.unsaved
	}
	if !r.Fresh {
		t.outlive(h, id, p)
	}
	p.figure, p.shown = r.Figure, time.Now()
	p.noteOver()
	p.paced(r.Pace)
	p.progress(r.Percent, r.Pace)
}
