package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// maxReportAge is the age of the last report that confirms a worker from which no new tasks are placed there: two missed reports.
	maxReportAge = 1300 * time.Millisecond
	// probationFailures is the number of consecutive failures from which a worker gets one task at a time.
	probationFailures = 3
	// stallTimeout is how long a task may make no progress at full pace before it is restarted elsewhere;
	// observedStallTimeout applies instead once stallSamples consecutive samples show no progress.
	stallTimeout         = 2500 * time.Millisecond
	observedStallTimeout = 1300 * time.Millisecond
	stallSamples         = 3
	// stallEstimateShare is the share of its estimate for which a task may make no progress in any case, since progress is
	// reported in percent.
	stallEstimateShare = 0.05
)

// expireWorkers marks workers unschedulable after maxReportAge without a report that confirms them, and unreachable once the
// last lease granted to their agent, by this leader or an earlier one, has expired.
func (t *term) expireWorkers() {
	now := time.Now()
	t.expireUnreachable(now)
	for _, h := range t.hosts.all() {
		t.updateStoredLease(h, now)
		host := h.worker.Host
		a := t.agents[host.VM]
		switch {
		case a != nil && a.host == host:
			h.worker.Schedulable = h.worker.Schedulable && now.Sub(a.confirmedAt) < maxReportAge
			if a.leaseExpired(now) && !h.leaseMayLast(now) {
				t.markUnreachable(h, t.unsettledWithout(a, now), "its agent no longer confirms it")
			}
		case t.earlierLeasesExpired(now) && (a == nil || a.leaseExpired(now)) && !h.leaseMayLast(now):
			t.markUnreachable(h, t.unsettledWithout(a, now), "its agent has not confirmed it to this leader")
		}
	}
}

// stopStalled stops stalled runs, so that their tasks restart elsewhere.
func (t *term) stopStalled() {
	for _, h := range t.hosts.all() {
		host := h.worker.Host
		for _, id := range h.runsWhere((*placedRun).stalled) {
			p := h.runs[id]
			tracked := t.jobs[id.Job]
			if tracked == nil || !h.worker.Schedulable {
				continue
			}
			t.logger.Info("stalled task is stopped; task=%s run=%d vm=%s percent=%d", id, p.number, host.VM, p.percent)
			tracked.failedHosts[host] = true
			if tracked.isNewFailure(id, p.number, host) {
				h.consecutiveFailures++
				t.observeStall(h, id)
			}
			t.stopRun(host, id, p)
		}
	}
}

// stalled reports whether a run that is not long-running has made no progress for too long.
func (p *placedRun) stalled() bool {
	if p.step.LongRunning || !p.committed || p.stopping || p.withdrawn || p.startSentAt.IsZero() {
		return false
	}
	timeout := stallTimeout
	if p.stalledSamples >= stallSamples {
		timeout = observedStallTimeout
	}
	return time.Since(p.progressedAt) >= max(timeout, time.Duration(stallEstimateShare*float64(p.step.Estimate)))
}

// placeTasks places waiting tasks; a placement takes effect once it is committed.
func (t *term) placeTasks() {
	groups := t.waitingGroups()
	workers := make([]*plan.Worker, 0, t.hosts.len())
	now := time.Now()
	t.updateHealth(now)
	for _, h := range t.hosts.all() {
		t.limitPlacements(h, now)
		h.worker.HallClosed = t.hallClosed(h.worker.Host)
		h.worker.ServingTasks = t.servingTasks(h)
		h.worker.BestEffortBlocked = len(h.runsWhere((*placedRun).longOverTarget)) > 0
		h.recountUsage()
		h.countStarting()
		workers = append(workers, &h.worker)
	}
	groups = t.splitRetries(t.withoutHeldBack(groups), workers)
	l := t.currentLoad()
	t.observeShortWork(l.short, groups)
	loadLogged := t.logLoad(l, groups)
	t.logRunTimes()
	t.backlog.update(time.Now(), groups, l.used, l.capacity)
	reserveForSuspects(workers, groups)
	planner := plan.New(workers, t.pressure)
	planner.SetBacklog(t.backlog.level)
	t.setReserves(planner)
	t.moveThrottled(planner)
	if !t.closuresConfirmed() {
		return
	}
	for _, p := range planner.Place(groups) {
		tracked := t.jobs[p.Task.Job]
		run := tracked.job.Place(p.Task, p.Host, p.Run)
		t.hosts.get(p.Host).runs[p.Task] = &placedRun{step: p.Step, number: run, placedAt: time.Now(), progressedAt: time.Now(), pace: pacing.Full, startedAlone: p.Suspect}
		delete(tracked.suspectedSince, p.Task)
		delete(tracked.lastAttempts, p.Task)
		t.logger.Info("task placed; task=%s run=%d vm=%s waited_ms=%d", p.Task, run, p.Host.VM, time.Since(tracked.acceptedAt).Milliseconds())
		t.markDirty(tracked)
	}
	t.reserves.unplaced = planner.Unplaced()
	if loadLogged {
		t.logUnplaced(planner, groups)
	}
}

// placementLimit returns how many more tasks may be placed on a worker: any number, but from probationFailures on one, and none
// while a finite task runs there.
func (h *hostState) placementLimit() int {
	switch {
	case h.consecutiveFailures < probationFailures:
		return plan.Unlimited
	case h.runsFiniteTask():
		return 0
	}
	return 1
}

// runsFiniteTask reports whether a task that is not long-running runs on the worker.
func (h *hostState) runsFiniteTask() bool {
	for _, p := range h.runs {
		if !p.step.LongRunning {
			return true
		}
	}
	return false
}
