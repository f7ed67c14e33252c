package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// hostState is one incarnation of a worker with the runs that are placed on it.
type hostState struct {
	worker plan.Worker
	runs   map[job.TaskID]*placedRun
	// ended reports whether the incarnation has ended and its runs were counted as lost.
	ended bool
	// heldUntil is until when its runs may go on without its agent, as stored or as first reported; confirmed reports whether it is known.
	confirmed bool
	heldUntil time.Time
	// outlived reports whether the lease could outlast the wait of a new leader when that was last checked.
	outlived bool
	// draining reports whether the worker drains: it takes no more starts, and its runs end with it.
	draining bool
	// sampledAt is when the measurements were last evaluated, imageUsage has the share of the worker's processors that the best-effort tasks
	// of each image used then.
	sampledAt  time.Time
	imageUsage map[string]float64
	// consecutiveFailures counts the runs that have failed since the last one that succeeded.
	consecutiveFailures int
}

// placedRun is a run that is placed on a worker.
type placedRun struct {
	step   *job.Step
	number int
	// placedAt is when the run was placed, or loaded by this leader.
	placedAt time.Time
	// committed reports whether the store has the run, startSentAt is when its start was last ordered.
	committed   bool
	startSentAt time.Time
	stopping    bool
	stopSentAt  time.Time
	// handedOver reports whether the run was ordered on a previous incarnation of the worker: this incarnation must only reject it.
	handedOver bool
	// orderedAt is when this leader first ordered the start, unsettledBefore reports whether the run was unsettled under the previous leader.
	orderedAt       time.Time
	unsettledBefore bool
	// withdrawn reports whether the worker rejects the run while a start of it is outstanding.
	withdrawn bool
	// settled reports whether the worker has listed the run and no later incarnation of it may carry out a start of the run.
	settled bool
	// kept reports whether the run was kept placed after the leases of its worker had expired.
	kept bool
	// onNext reports whether the next incarnation of the worker has the run as well.
	onNext bool
	// neverHad reports whether the incarnation ended without the run, by the report of its end; a later start clears it.
	neverHad bool
	percent  int
	// measurement is the last one: the tail latency in milliseconds of a serving task, else the used processor time in thousandths of a core.
	measurement int
	// progressedAt is when the task last made progress, or was too throttled to make any; stalledSamples counts the samples since then
	// and stallSampledAt is when the last of them was taken.
	progressedAt   time.Time
	stalledSamples int
	stallSampledAt time.Time
	// pace is the pace of a best-effort task in percent, slowSince is the time since which it has been at most slowPace.
	pace      int
	slowSince time.Time
	// overTargetSince is the time since which a serving task has exceeded its latency target, zero while it does not.
	overTargetSince time.Time
	// survivedStart reports whether the run has survived its startup, as first reported at survivedStartAt; startedAlone whether it was
	// started without other starting tasks, to show whether it crashes its worker.
	survivedStart   bool
	survivedStartAt time.Time
	startedAlone    bool
	// reportedAt is when the worker last reported the run as running.
	reportedAt time.Time
	// headroomOffset is how far the headroom of a serving task differs from what its load and its neighbors explain.
	headroomOffset pressure.Residual
	timing         runTiming
}

// minimumLifetime returns how long the run has lived at least, by the reports of its worker.
func (p *placedRun) minimumLifetime() time.Duration {
	if !p.survivedStart {
		return 0
	}
	return crash.StartupTime + p.reportedAt.Sub(p.survivedStartAt)
}

// updateProgress records the progress of a task and counts the samples without progress, unless the task is throttled below minStallPace.
func (p *placedRun) updateProgress(percent, pace int) {
	now := time.Now()
	switch {
	case percent != p.percent || pace < minStallPace:
		p.percent, p.progressedAt, p.stalledSamples = percent, now, 0
	case now.Sub(p.stallSampledAt) < sampleInterval:
		return
	default:
		p.stalledSamples++
	}
	p.stallSampledAt = now
}

// ensureHost returns the state of an incarnation of a worker and creates an empty one if it has none.
func (t *term) ensureHost(host job.Host) *hostState {
	h := t.hosts.get(host)
	if h == nil {
		h = &hostState{worker: plan.Worker{Host: host, Trials: plan.Unlimited}, runs: make(map[job.TaskID]*placedRun)}
		t.hosts.add(h)
	}
	return h
}

// addRun places a run that the store has and allocates its capacity.
func (h *hostState) addRun(id job.TaskID, step *job.Step, run int) {
	h.runs[id] = &placedRun{step: step, number: run, placedAt: time.Now(), committed: true, progressedAt: time.Now(), pace: pacing.Full}
	h.worker.Allocate(step)
}

// removeRun removes a run and releases its capacity.
func (h *hostState) removeRun(id job.TaskID, run int) {
	p := h.runs[id]
	if p == nil || p.number != run {
		return
	}
	delete(h.runs, id)
	h.worker.Release(p.step)
}

// requestStop stops the run of a task; its capacity stays allocated until its end is reported.
func (t *term) requestStop(id job.TaskID, task *job.Task) {
	h := t.hosts.get(task.Host())
	if h == nil || h.runs[id] == nil || h.runs[id].number != task.Run() {
		return
	}
	p := h.runs[id]
	p.stopping = true
	if p.committed {
		t.sendStop(task.Host(), id, p)
	}
}

// stopRun stops a committed run so that its task can be placed elsewhere.
func (t *term) stopRun(host job.Host, id job.TaskID, p *placedRun) {
	p.stopping = true
	t.sendStop(host, id, p)
}

// sendStop orders the stop of a run and records the time, unless its agent is unreachable.
func (t *term) sendStop(host job.Host, id job.TaskID, p *placedRun) {
	if t.orderStop(host, id, p.number) {
		p.stopSentAt = time.Now()
	}
}

// findRun returns a run that is placed on the worker, nil if it is not or has another number.
func (h *hostState) findRun(r link.Run) *placedRun {
	id, ok := r.TaskID()
	p := h.runs[id]
	if !ok || p == nil || p.number != r.Number {
		return nil
	}
	return p
}

// recordLostRuns ends runs of an incarnation that has ended, and removes the incarnation once it has no runs.
func (t *term) recordLostRuns(h *hostState, runs []job.TaskID, reason string) {
	if len(runs) > 0 {
		t.logger.Warn("runs of a worker incarnation are lost; vm=%s instance=%s runs=%d reason=%s",
			h.worker.Host.VM, h.worker.Host.Incarnation, len(runs), reason)
	}
	for _, id := range runs {
		t.recordEnd(id, h.runs[id].number, job.EndLapsed, "", h.worker.Host)
	}
	if len(h.runs) == 0 {
		t.hosts.remove(h.worker.Host)
	}
	t.notifyChange()
}

// recordEnd records the end of a run, whichever phase its task is in.
func (t *term) recordEnd(id job.TaskID, run int, end job.End, checkpoint string, host job.Host) {
	placedAt := time.Time{}
	var ended *placedRun
	if h := t.hosts.get(host); h != nil {
		if p := h.runs[id]; p != nil {
			placedAt = p.placedAt
			if p.number == run {
				ended = p
			}
		}
		h.removeRun(id, run)
	}
	tracked := t.jobs[id.Job]
	if tracked == nil || !tracked.job.RecordEnd(id, run, end, checkpoint) {
		return
	}
	tracked.backOffAfterEnd(id, end, placedAt)
	if end == job.EndDone {
		t.observeRunTime(tracked, id, ended)
	}
	t.logEnd(tracked, id, run, end, host)
	step := &tracked.job.Spec().Steps[id.Step]
	if end != job.EndFailed || tracked.isNewFailure(id, run, host) {
		if h := t.hosts.get(host); h != nil && !step.LongRunning {
			h.updateFailures(end)
		}
		t.observeEnd(host, id, ended, end)
	}
	if step.Gang && end == job.EndDone {
		t.stopGang(tracked, id)
	}
	if end == job.EndFailed {
		tracked.failedHosts[host] = true
	}
	t.recordJobEnd(tracked)
	t.markDirty(tracked)
}

// logEnd logs the end of a run, with the number of failed runs of its task or gang if it failed.
func (t *term) logEnd(tracked *trackedJob, id job.TaskID, run int, end job.End, host job.Host) {
	if end == job.EndFailed {
		t.logger.Info("run ended; task=%s run=%d vm=%s end=%s failures=%d", id, run, host.VM, end, tracked.job.Failures(id))
		return
	}
	t.logger.Info("run ended; task=%s run=%d vm=%s end=%s", id, run, host.VM, end)
}

// recordJobEnd stops the remaining runs of a job that has just reached a final state.
func (t *term) recordJobEnd(tracked *trackedJob) {
	state := tracked.job.State()
	if !state.IsFinal() || !tracked.endedAt.IsZero() {
		return
	}
	t.logger.Info("job ended; job=%s state=%s ms=%d objective_ms=%d",
		tracked.job.ID(), state, time.Since(tracked.acceptedAt).Milliseconds(), tracked.job.Objective().Milliseconds())
	t.stopRuns(tracked)
}

// stopGang stops the other members of a gang of which one has succeeded: at most an order that is still in transit.
func (t *term) stopGang(tracked *trackedJob, ended job.TaskID) {
	member := ended
	for member.Index = range tracked.job.Tasks(ended.Iteration, ended.Step) {
		t.requestStop(member, tracked.job.Task(member))
	}
}

// updateFailures counts consecutive failures of tasks that are not long-running.
func (h *hostState) updateFailures(end job.End) {
	switch end {
	case job.EndDone:
		h.consecutiveFailures = 0
	case job.EndFailed:
		h.consecutiveFailures++
	default:
	}
}
