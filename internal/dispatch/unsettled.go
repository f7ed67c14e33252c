package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

const (
	// maxFirstReport is the time after its start within which a worker reports to its agent, which stops what it finds there.
	maxFirstReport = 2 * time.Second
	// startOutstanding is how long after it was sent a start may begin a run that nobody has stopped, while its agent runs.
	startOutstanding = host.MaxStartTimeout + host.MaxCallDelay + maxFirstReport
)

// mayReuseID reports whether a later incarnation of the worker may have the same id.
func (h *hostState) mayReuseID() bool { return h.worker.Host.Incarnation.StartMillis() != 0 }

// recordSettled records which runs are settled by a report: a run that is listed while no start of it is outstanding is not started again. An agent that
// has restarted does not know what its predecessor has sent.
func (t *term) recordSettled(h *hostState, r link.Report) {
	for _, running := range r.Running {
		p := h.findRun(running.Run)
		id, _ := running.TaskID()
		if p == nil || p.settled || t.isOutstanding(id, h.worker.Host.VM) {
			continue
		}
		if !h.mayReuseID() || p.startsKnown(r) {
			p.settled = true
			t.storeSettled(h, running.Run, p)
		}
	}
}

// knowsAllStarts reports whether the agent knows all starts that may be outstanding. An agent of the previous release does not say what it knows.
func knowsAllStarts(r link.Report) bool {
	return r.AgentAgeMillis == 0 || agentAge(r) > startOutstanding
}

// agentAge returns the age of the agent that sent a report.
func agentAge(r link.Report) time.Duration { return time.Duration(r.AgentAgeMillis) * time.Millisecond }

// startsKnown reports whether the agent knows all starts of the run that may be outstanding.
func (p *placedRun) startsKnown(r link.Report) bool {
	return knowsAllStarts(r) || !p.unsettledBefore && !p.orderedAt.IsZero() && time.Since(p.orderedAt) < agentAge(r)
}

// minStoredRunTime is the least estimate of a task whose settled run is stored at once.
const minStoredRunTime = 4 * time.Second

// storeSettled has the job of a long task stored again once its run is settled: a new leader would otherwise keep the run placed for half a minute if the VM
// is lost with this leader. The records of short tasks change soon anyway.
func (t *term) storeSettled(h *hostState, run link.Run, p *placedRun) {
	long := p.step.LongRunning || p.step.Estimate >= minStoredRunTime
	if tracked := t.jobOf(run); tracked != nil && long && h.mayReuseID() {
		t.markDirty(tracked)
	}
}

// hasUnsettled reports whether a job has an unsettled run on a worker that may reuse its id.
func (t *term) hasUnsettled(worker job.Host, id job.ID) bool {
	h := t.hosts.get(worker)
	if h == nil || !h.mayReuseID() {
		return false
	}
	for task, p := range h.runs {
		if task.Job == id && !p.settled {
			return true
		}
	}
	return false
}

// unsettledBy returns which runs are unsettled by a report that all leases have expired.
func (t *term) unsettledBy(r link.Report) func(job.TaskID, *placedRun) bool {
	return func(id job.TaskID, p *placedRun) bool {
		return t.isOutstanding(id, r.VM) || !p.settled && !p.startsKnown(r)
	}
}

// unsettledWithout returns which runs are unsettled while their agent, nil if it is unknown, does not report: starts may be sent until its lease has
// expired, and the runs that they begin may go on for the longest lease.
func (t *term) unsettledWithout(a *agent, now time.Time) func(job.TaskID, *placedRun) bool {
	until := t.outstandingUntil(a)
	return func(_ job.TaskID, p *placedRun) bool { return !p.settled && now.Before(until) }
}

// outstandingUntil returns until when runs may begin or go on that an agent, nil if it is unknown, has started, if it reports no more.
func (t *term) outstandingUntil(a *agent) time.Time {
	leaseEnd := t.startedAt.Add(t.earlierLeases)
	if a != nil {
		leaseEnd = later(leaseEnd, a.leasedAt.Add(agentLease))
	}
	return t.latestEnd(leaseEnd)
}

// latestEnd returns when all runs have ended that an agent has started by the end of its lease.
func (t *term) latestEnd(leaseEnd time.Time) time.Time {
	maxLease := time.Duration(float64(t.dispatcher.config.MaxRenewal) / host.MinClockRate)
	return leaseEnd.Add(agentLeaseMargin + host.MaxStartTimeout + host.MaxCallDelay + maxLease)
}

// releaseKept gives up the runs that were kept placed after the leases of their worker had expired and that it does not have, once it answers again. Those
// that it has are followed from now on: nobody knew of their progress meanwhile.
func (t *term) releaseKept(h *hostState, r link.Report) {
	kept := h.runsWhere(func(p *placedRun) bool { return p.kept })
	if len(kept) == 0 {
		return
	}
	present, lost := presentTasks(r), 0
	for _, id := range kept {
		p := h.runs[id]
		p.kept, p.progressedAt = false, time.Now()
		if !present[id] && !r.MoreEnds && p.startsKnown(r) && !t.isOutstanding(id, r.VM) {
			lost++
			t.recordEnd(id, p.number, job.EndLapsed, "", h.worker.Host)
		}
	}
	t.logger.Info("worker answers again; vm=%s instance=%s kept=%d lost=%d", h.worker.Host.VM, h.worker.Host.Incarnation, len(kept), lost)
	t.notifyChange()
}

// presentTasks returns the tasks of which a report lists a run as running, ended or pending.
func presentTasks(r link.Report) map[job.TaskID]bool {
	present := make(map[job.TaskID]bool)
	add := func(run link.Run) {
		if id, ok := run.TaskID(); ok {
			present[id] = true
		}
	}
	for _, running := range r.Running {
		add(running.Run)
	}
	for _, e := range r.Ended {
		add(e.Run)
	}
	for _, run := range r.Pending {
		add(run)
	}
	return present
}

// releasedRuns returns the runs of an incarnation whose leases have expired that may be placed again, sorted, and logs those that may not.
func (t *term) releasedRuns(h *hostState, unsettled func(job.TaskID, *placedRun) bool, reason string) []job.TaskID {
	if !h.mayReuseID() {
		return h.sortedRuns()
	}
	var released []job.TaskID
	for _, id := range h.sortedRuns() {
		p := h.runs[id]
		if !p.committed || !unsettled(id, p) {
			released = append(released, id)
			continue
		}
		if !p.kept {
			p.kept = true
			t.dispatcher.config.Metrics.Counter("lead.kept_runs").Inc(1)
			t.logger.Warn("run of a lost worker stays placed, since a later incarnation may carry out a start of it; task=%s run=%d vm=%s instance=%s reason=%s",
				id, p.number, h.worker.Host.VM, h.worker.Host.Incarnation, reason)
		}
	}
	return released
}
