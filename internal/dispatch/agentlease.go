package dispatch

import (
	"time"

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

// releaseRuns gives up the runs of the reported incarnation, or all runs on the VM if its agent knows no worker, once the report shows that their
// leases have expired. A worker that is gone can confirm nothing, so its answer is not needed: the agent follows this leader, so no earlier one
// prolongs a lease through it, and its own clock covers what it and its previous process have sent.
func (t *term) releaseRuns(r link.Report) {
	if r.Epoch != t.epoch || !r.LeaseExpired {
		return
	}
	for _, h := range t.hosts.onVM(r.VM) {
		if r.Instance == "" || h.worker.Host.Incarnation == r.Incarnation() {
			t.markUnreachable(h, "its agent reports that all leases have expired")
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
