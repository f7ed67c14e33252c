package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
)

// TestMembersOfAGangThatFailOnOneWorkerAreEvidenceOnce guards against a healthy worker that is ejected because several members of one faulty gang
// failed or stalled there in one run.
func TestMembersOfAGangThatFailOnOneWorkerAreEvidenceOnce(t *testing.T) {
	const members = 4
	for name, stalled := range map[string]bool{"failed": false, "stalled": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader := newTerm(healthEntry("e", kvtest.New(), true), 1, 1)
				worker := leader.addWorker("vm")
				tracked := leader.addTestJob(1, job.Step{Count: members, Gang: true})
				h := leader.hosts.get(worker)
				h.worker.Schedulable = true
				for member := range members {
					leader.addRun(tracked, member, worker)
					h.runs[job.TaskID{Job: tracked.job.ID(), Index: member}].startSentAt = time.Now()
				}
				time.Sleep(2 * stallTimeout)
				if stalled {
					leader.stopStalled()
				}
				for member := range members {
					leader.recordEnd(job.TaskID{Job: tracked.job.ID(), Index: member}, 1, job.EndFailed, "", worker)
				}
				leader.limitPlacements(h, time.Now())
				assert.Equal(t, h.worker.Health, health.Degraded)
				assert.Equal(t, h.consecutiveFailures, 1)
			})
		})
	}
}
