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

// hostState is one incarnation of a worker and what is placed there.
type hostState struct {
	worker plan.Worker
	runs   map[job.TaskID]*placedRun
	// ended says that the incarnation has ended and its runs were counted as lost.
	ended bool
	// draining says that the worker leaves, and all that runs there with it.
	draining bool
	// sampledAt is when the figures were last taken into account, used what each image that fills used by them, in shares of
	// the worker.
	sampledAt  time.Time
	imageUsage map[string]float64
	// consecutiveFailures counts runs that ended as failed since the last that was done.
	consecutiveFailures int
}

// placedRun is a run that is placedRun on a worker.
type placedRun struct {
	step   *job.Step
	number int
	// placedAt is when the run was placed, or became known to this lead.
	placedAt time.Time
	// committed says that the store has the run, sent when its order last left.
	committed   bool
	startSentAt time.Time
	stopping    bool
	stopSentAt  time.Time
	// handedOver says that the run was ordered on an earlier incarnation of the worker, and is only to be refused here.
	handedOver bool
	percent    int
	// measurement is the latest: the tail in milliseconds of a task that serves, else the thousandths of a core in use.
	measurement int
	// progressedAt is when the task last got on, or stood still for its pace; still counts the figures since, looked is when the
	// last of them came.
	progressedAt   time.Time
	stalledSamples int
	stallSampledAt time.Time
	// pace is the pace in percent of a task that fills, slow since when it has been below slowPace.
	pace      int
	slowSince time.Time
	// overTargetSince is since when a task that serves has been overTargetSince its target, zero while it is not.
	overTargetSince time.Time
	// survivedStart says that the run has outlived its start, as the lead saw first at provedAt; suspect that it started alone to show
	// whether it crashes its worker.
	survivedStart   bool
	survivedStartAt time.Time
	startedAlone    bool
	// reportedAt is when the worker last showed the run.
	reportedAt time.Time
	// headroomOffset is by how much a task that serves is off its load.
	headroomOffset pressure.Residual
}

// minimumLifetime returns for how long the run was seen to live at the least.
func (p *placedRun) minimumLifetime() time.Duration {
	if !p.survivedStart {
		return 0
	}
	return crash.StartupTime + p.reportedAt.Sub(p.survivedStartAt)
}

// updateProgress takes note of how far a task is, at its pace.
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

// ensureHost returns what is known of an incarnation of a worker, with an empty record of one that is new.
func (t *term) ensureHost(name job.Host) *hostState {
	h := t.hosts.get(name)
	if h == nil {
		h = &hostState{worker: plan.Worker{Host: name, Trials: plan.Unlimited}, runs: make(map[job.TaskID]*placedRun)}
		t.hosts.add(h)
	}
	return h
}

// addRun counts a run that the store has.
func (h *hostState) addRun(id job.TaskID, step *job.Step, run int) {
	h.runs[id] = &placedRun{step: step, number: run, placedAt: time.Now(), committed: true, progressedAt: time.Now(), pace: pacing.Full}
	h.worker.Allocate(step)
}

// removeRun counts a run as gone.
func (h *hostState) removeRun(id job.TaskID, run int) {
	p := h.runs[id]
	if p == nil || p.number != run {
		return
	}
	delete(h.runs, id)
	h.worker.Release(p.step)
}

// requestStop asks for the end of a run; its room stays taken until the end is known.
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

// stopRun stops a committed run, so that its task starts elsewhere.
func (t *term) stopRun(host job.Host, id job.TaskID, p *placedRun) {
	p.stopping = true
	t.sendStop(host, id, p)
}

// sendStop orders the stop of a run and notes when, unless its agent cannot be reached.
func (t *term) sendStop(host job.Host, id job.TaskID, p *placedRun) {
	if t.orderStop(host, id, p.number) {
		p.stopSentAt = time.Now()
	}
}

// findRun returns a findRun that is placed here, nil for any other.
func (h *hostState) findRun(r link.Run) *placedRun {
	id, ok := r.TaskID()
	p := h.runs[id]
	if !ok || p == nil || p.number != r.Number {
		return nil
	}
	return p
}

// recordLostRuns takes back runs of an incarnation that has ended, and forgets the incarnation once none is left.
func (t *term) recordLostRuns(h *hostState, runs []job.TaskID, reason string) {
	if len(runs) > 0 {
		t.logger.Warn("a worker's runs are lost; vm=%s instance=%s runs=%d reason=%s",
			h.worker.Host.VM, h.worker.Host.Incarnation, len(runs), reason)
	}
	for _, id := range runs {
		t.recordEnd(id, h.runs[id].number, job.EndLapsed, "", h.worker.Host)
	}
	if len(h.runs) == 0 {
		t.hosts.remove(h.worker.Host)
	}
	t.wakeUp()
}

// recordEnd records the end of a run, wherever the task stands now.
func (t *term) recordEnd(id job.TaskID, run int, end job.End, checkpoint string, host job.Host) {
	began := time.Time{}
	if h := t.hosts.get(host); h != nil {
		if p := h.runs[id]; p != nil {
			began = p.placedAt
		}
		h.removeRun(id, run)
	}
	known := t.jobs[id.Job]
	if known == nil || !known.job.RecordEnd(id, run, end, checkpoint) {
		return
	}
	known.backOffAfterEnd(id, end, began)
	t.logger.Info("run ended; task=%s run=%d vm=%s end=%s", id, run, host.VM, end)
	step := &known.job.Spec().Steps[id.Step]
	if h := t.hosts.get(host); h != nil && !step.LongRunning {
		h.updateFailures(end)
	}
	if step.Gang && end == job.EndDone {
		t.stopGang(known, id)
	}
	if end == job.EndFailed {
		known.failedHosts[host] = true
	}
	t.recordJobEnd(known)
	t.markDirty(known)
}

// recordJobEnd ends what is left of a job that has just come to its final state.
func (t *term) recordJobEnd(known *trackedJob) {
	state := known.job.State()
	if !state.IsFinal() || !known.endedAt.IsZero() {
		return
	}
	t.logger.Info("job ended; job=%s state=%s ms=%d objective_ms=%d",
		known.job.ID(), state, time.Since(known.acceptedAt).Milliseconds(), known.job.Objective().Milliseconds())
	t.stopRuns(known)
}

// stopGang stops what is left of a gang that one end has ended for all: an order that is still on its way, at the most.
func (t *term) stopGang(known *trackedJob, ended job.TaskID) {
	member := ended
	for member.Index = range known.job.Tasks(ended.Iteration, ended.Step) {
		t.requestStop(member, known.job.Task(member))
	}
}

// updateFailures counts failures in a row of the tasks that end by themselves.
func (h *hostState) updateFailures(end job.End) {
	switch end {
	case job.EndDone:
		h.consecutiveFailures = 0
	case job.EndFailed:
		h.consecutiveFailures++
	default:
	}
}
