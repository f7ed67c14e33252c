package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// maxWorkerlessTime is how long an agent that reports no worker is granted leases: after a restart of the agent its worker
// reports within about a second, and runs end within 3.5 s if their lease is not renewed.
const maxWorkerlessTime = 3500 * time.Millisecond

// confirms reports whether a report can be relied on: the agent follows this leader, and its worker rejects the calls of
// earlier leaders and agents.
func (t *term) confirms(r link.Report) bool {
	return r.Epoch == t.epoch && r.Instance != "" && r.Fenced
}

// confirm records that its agent has confirmed the incarnation, whose runs may go on without it until a time. The first report decides: from then on the
// worker rejects calls for previous incarnations, and the agent lease bounds all others.
func (h *hostState) confirm(heldUntil time.Time) {
	if !h.confirmed {
		h.confirmed, h.heldUntil = true, heldUntil
	}
}

// outlivesLeader reports whether runs on the worker could go on for longer than a new leader waits for those of an unreported worker.
func (h *hostState) outlivesLeader(now time.Time) bool { return h.heldUntil.Sub(now) > leaderTimeout }

// updateStoredLease has the jobs on a worker stored again as soon as its lease cannot outlast the wait of a new leader any more, which counts what is stored
// from its own start.
func (t *term) updateStoredLease(h *hostState, now time.Time) {
	outlives := h.outlivesLeader(now)
	if h.outlived && !outlives {
		for id := range h.runs {
			if tracked := t.jobs[id.Job]; tracked != nil {
				t.markDirty(tracked)
			}
		}
	}
	h.outlived = outlives
}

// leaseMayLast reports whether the lease of a worker may last although that of its agent has expired: a call for the previous incarnation under the same
// id may have set it on another clock.
func (h *hostState) leaseMayLast(now time.Time) bool { return now.Before(h.heldUntil) }

// remainingLease returns how long the runs of a worker may go on without its agent. It is stored with the runs, so that the next leader knows it.
func (t *term) remainingLease(worker job.Host) time.Duration {
	h := t.hosts.get(worker)
	if h == nil || worker.Incarnation.StartMillis() == 0 {
		return 0
	}
	return max(time.Until(h.heldUntil), 0)
}

// releaseRuns gives up the runs of the reported incarnation, or all runs on the VM if its agent knows no worker, once the report shows that their
// leases have expired. A worker that is gone can confirm nothing, so its answer is not needed: the agent follows this leader, so no earlier one
// prolongs a lease through it, and its own clock covers what it and its previous process have sent.
func (t *term) releaseRuns(r link.Report) {
	if r.Epoch != t.epoch || !r.LeaseExpired {
		return
	}
	now := time.Now()
	for _, h := range t.hosts.onVM(r.VM) {
		if r.Instance == "" && !h.leaseMayLast(now) || h.worker.Host.Incarnation == r.Incarnation() {
			t.markUnreachable(h, t.unsettledBy(r), "its agent reports that all leases have expired")
		}
	}
}

// grantsLease reports whether the answer to a report grants an agent lease. If the agent knows no worker, or one that does
// not answer it in this epoch, its reports can never say that the runs of the worker have ended: the lease must expire.
func (t *term) grantsLease(a *agent, r link.Report) bool {
	switch {
	case r.Epoch != t.epoch:
		return false
	case r.Instance == "":
		return time.Since(a.workerlessSince) < maxWorkerlessTime
	}
	return r.Fenced || !r.Unreachable
}

// recordWorkerless records whether the agent reports no worker.
func (a *agent) recordWorkerless(workerless bool) {
	switch {
	case !workerless:
		a.workerlessSince = time.Time{}
	case a.workerlessSince.IsZero():
		a.workerlessSince = a.lastReport
	}
}

// leaseExpired reports whether the last lease granted to the agent has expired.
func (a *agent) leaseExpired(now time.Time) bool {
	return now.Sub(a.leasedAt) > agentLease+agentLeaseMargin
}
