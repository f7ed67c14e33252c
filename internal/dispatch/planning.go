package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// maxReportAge is how old a report may be for new tasks to be placed on its worker: two reports that did not come.
	maxReportAge = 1300 * time.Millisecond
	// probationFailures is how many failures in a row close a worker but for a trial.
	probationFailures = 3
	// stallTimeout is how long a task may stand still at full pace before it is started elsewhere; stuckSeen is the same where
	// stuckFigures in a row have shown it.
	stallTimeout         = 2500 * time.Millisecond
	observedStallTimeout = 1300 * time.Millisecond
	stallSamples         = 3
	// stallEstimateShare of its estimate is how long a task may stand still in any case, since progress is told in hundredths.
	stallEstimateShare = 0.05
)

// expireWorkers gives up the workers whose permission is over.
func (t *term) expireWorkers() {
	now := time.Now()
	t.expireUnreachable(now)
	for _, h := range t.hosts.all() {
		host := h.worker.Host
		a := t.agents[host.VM]
		switch {
		case a != nil && a.host == host:
			h.worker.Schedulable = h.worker.Schedulable && now.Sub(a.lastReport) < maxReportAge
			if now.Sub(a.lastReport) > agentLease+agentLeaseMargin {
				t.markUnreachable(h, "its agent does not report")
			}
		case now.Sub(t.startedAt) > leaderTimeout+agentLeaseMargin:
			t.markUnreachable(h, "its agent never reported to this lead")
		}
	}
}

// stopStalled stops tasks that stand still, so that they start again elsewhere.
func (t *term) stopStalled() {
	for _, h := range t.hosts.all() {
		host := h.worker.Host
		for _, id := range h.runsWhere((*placedRun).stalled) {
			p := h.runs[id]
			known := t.jobs[id.Job]
			if known == nil || !h.worker.Schedulable {
				continue
			}
			t.logger.Info("task stands still and is stopped; task=%s run=%d vm=%s percent=%d", id, p.number, host.VM, p.percent)
			known.failedHosts[host] = true
			h.consecutiveFailures++
			t.stopRun(host, id, p)
		}
	}
}

// stalled reports whether a run that should get on has not for long.
func (p *placedRun) stalled() bool {
	if p.step.LongRunning || !p.committed || p.stopping || p.startSentAt.IsZero() {
		return false
	}
	patience := stallTimeout
	if p.stalledSamples >= stallSamples {
		patience = observedStallTimeout
	}
	return time.Since(p.progressedAt) >= max(patience, time.Duration(stallEstimateShare*float64(p.step.Estimate)))
}

// placeTasks places what waits; the placements count once they are committed.
func (t *term) placeTasks() {
	groups := t.waitingGroups()
	workers := make([]*plan.Worker, 0, t.hosts.len())
	for _, h := range t.hosts.all() {
		h.worker.Trials = h.placementLimit()
		h.worker.HallClosed = t.hallClosed(h.worker.Host)
		h.worker.ServingTasks = t.servingTasks(h)
		h.worker.BestEffortBlocked = len(h.runsWhere((*placedRun).longOverTarget)) > 0
		h.recountUsage()
		h.countUnproven()
		workers = append(workers, &h.worker)
	}
	l := t.currentLoad()
	t.logLoad(l, groups)
	t.backlog.update(time.Now(), groups, l.used, l.capacity)
	reserveForSuspects(workers, groups)
	planner := plan.New(workers, t.pressure)
	planner.SetBacklog(t.backlog.level)
	t.moveThrottled(planner)
	if !t.closuresConfirmed() {
		return
	}
	for _, p := range planner.Place(groups) {
		known := t.jobs[p.Task.Job]
		run := known.job.Place(p.Task, p.Host, p.Run)
		t.hosts.get(p.Host).runs[p.Task] = &placedRun{step: p.Step, number: run, placedAt: time.Now(), progressedAt: time.Now(), pace: pacing.Full, startedAlone: p.Suspect}
		delete(known.suspectedSince, p.Task)
		t.logger.Info("task placed; task=%s run=%d vm=%s waited_ms=%d", p.Task, run, p.Host.VM, time.Since(known.acceptedAt).Milliseconds())
		t.markDirty(known)
	}
}

// placementLimit returns how many tasks may be placed on a worker that failed several times.
func (h *hostState) placementLimit() int {
	switch {
	case h.consecutiveFailures < probationFailures:
		return plan.Unlimited
	case h.runsFiniteTask():
		return 0
	}
	return 1
}

// runsFiniteTask reports whether a task that ends by itself runs here.
func (h *hostState) runsFiniteTask() bool {
	for _, p := range h.runs {
		if !p.step.LongRunning {
			return true
		}
	}
	return false
}
