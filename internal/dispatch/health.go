package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// quickFailure is the run time below which the failure of a long-running task counts against its worker; later such tasks
// may fail at any time.
const quickFailure = time.Second

// fleet describes the workers of a term to its health tracker.
type fleet struct{ term *term }

// Service implements health.Fleet.
func (f fleet) Service(worker job.Host) string {
	if h := f.term.hosts.get(worker); h != nil {
		return h.worker.Service
	}
	return ""
}

// Schedulable implements health.Fleet; workers in closed halls do not count, since they take no task either.
func (f fleet) Schedulable(service string) int {
	count := 0
	for _, h := range f.term.hosts.all() {
		if w := &h.worker; w.Service == service && w.Schedulable && !w.HallClosed {
			count++
		}
	}
	return count
}

// trackHealth creates the health tracker of a term if the feature is on.
func (t *term) trackHealth() {
	if t.dispatcher.config.Features.WorkerHealth {
		t.health = health.NewTracker(fleet{t})
	}
}

// observeEnd records the end of a run as evidence about its worker; p is the run as it was placed there, nil if it was not.
// Ends that follow from a stop, a lapse, another gang member or the drain of the worker are no evidence.
func (t *term) observeEnd(worker job.Host, id job.TaskID, p *placedRun, end job.End) {
	if t.health == nil {
		return
	}
	if tracked := t.jobs[id.Job]; end == job.EndFailed && !tracked.job.Spec().Steps[id.Step].LongRunning {
		unit := tracked.job.Unit(id)
		tracked.failedOn[unit] = append(tracked.failedOn[unit], worker)
	}
	h := t.hosts.get(worker)
	if h == nil || h.draining || p == nil {
		return
	}
	now := time.Now()
	switch {
	case end == job.EndDone && !p.step.LongRunning:
		t.health.Done(worker, p.placedAt, now)
	case end == job.EndFailed && !p.stopping && p.failureCounts(now):
		t.health.Failed(worker, id, now)
	}
	t.logHealth()
}

// failureCounts reports whether a failure of the run counts against its worker.
func (p *placedRun) failureCounts(now time.Time) bool {
	return !p.step.LongRunning || !p.startSentAt.IsZero() && now.Sub(p.placedAt) < quickFailure
}

// observeStall records that a run has made no progress on its worker.
func (t *term) observeStall(h *hostState, id job.TaskID) {
	if t.health != nil && !h.draining {
		t.health.Stalled(h.worker.Host, id, time.Now())
		t.logHealth()
	}
}

// observeRefusal records that a worker has refused a start, which only counts as evidence if the worker was busy.
func (t *term) observeRefusal(h *hostState, refusal host.Refusal) {
	if t.health != nil && !h.draining && refusal == host.RefusedBusy {
		t.health.Refused(h.worker.Host, time.Now())
		t.logHealth()
	}
}

// observeStart records that a worker has carried out a start.
func (t *term) observeStart(h *hostState) {
	if t.health != nil {
		t.health.Started(h.worker.Host)
	}
}

// forgetWorker drops the evidence against an incarnation that has ended.
func (t *term) forgetWorker(worker job.Host) {
	if t.health != nil {
		t.health.Forget(worker)
	}
}

// forgetJob drops the failures of a job that is removed.
func (t *term) forgetJob(id job.ID) {
	if t.health != nil {
		t.health.ForgetJob(id)
	}
}

// updateHealth drops old evidence before a plan.
func (t *term) updateHealth(now time.Time) {
	if t.health != nil {
		t.health.Update(now)
		t.logHealth()
	}
}

// limitPlacements sets the health of a worker and how many tasks the plan may place there.
func (t *term) limitPlacements(h *hostState, now time.Time) {
	if t.health == nil {
		h.worker.Trials = h.placementLimit()
		return
	}
	status := t.health.Status(h.worker.Host, now)
	h.worker.Health, h.worker.Trials = status.State(), plan.Unlimited
	if status.State() == health.Ejected {
		h.worker.Trials = 0
		if status.AllowsTrial(h.runsTrial(status)) {
			h.worker.Trials = 1
		}
		h.worker.LongRunningTrials = h.longRunningTrials(status, now)
	}
}

// longRunningTrials returns how many long-running tasks may start on an ejected worker: one until a run has survived there, then any number. The end of
// a finite trial, which may take much longer, is not awaited.
func (h *hostState) longRunningTrials(status health.Status, now time.Time) int {
	if !status.AllowsTrial(false) {
		return 0
	}
	trials := 1
	for _, p := range h.runs {
		switch {
		case !status.IsTrial(p.placedAt):
		case p.survives(now):
			return plan.Unlimited
		default:
			trials = 0
		}
	}
	return trials
}

// survives reports whether the worker lists the run, with progress, quickFailure after its placement.
func (p *placedRun) survives(now time.Time) bool {
	return !p.reportedAt.IsZero() && p.percent > 0 && now.Sub(p.placedAt) >= quickFailure
}

// runsTrial reports whether a trial runs on an ejected worker. Runs from before the ejection do not delay a trial: they may
// last much longer than a bad phase of the worker.
func (h *hostState) runsTrial(status health.Status) bool {
	for _, p := range h.runs {
		if !p.step.LongRunning && status.IsTrial(p.placedAt) {
			return true
		}
	}
	return false
}

// logHealth logs and counts the ejections and readmissions since the last call.
func (t *term) logHealth() {
	for _, c := range t.health.Changes() {
		if !c.Ejected {
			t.logger.Info("worker readmitted; vm=%s instance=%s after_ms=%d", c.Worker.VM, c.Worker.Incarnation, c.After.Milliseconds())
			continue
		}
		t.dispatcher.config.Metrics.Counter("lead.ejections").Inc(1)
		t.logger.Warn("worker ejected; vm=%s instance=%s failures=%d refusals=%d jobs=%d for_ms=%d",
			c.Worker.VM, c.Worker.Incarnation, c.Failures, c.Refusals, c.Jobs, c.Pause.Milliseconds())
	}
}

// registerHealth registers the number of ejected workers as a metric; it is 0 unless this entry leads.
func (d *Dispatcher) registerHealth() {
	if !d.config.Features.WorkerHealth {
		return
	}
	d.config.Metrics.Gauge("lead.ejected_workers", func() int64 {
		t := d.term.Load()
		if t == nil {
			return 0
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		return int64(t.health.Ejected())
	})
}
