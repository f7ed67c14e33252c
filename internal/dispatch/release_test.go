package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestNewLeaderReleasesRunsWhoseLeasesHaveExpired guards against tasks of a lost worker that wait for the leases of earlier leaders although the agent
// beside the worker reports that they have expired, and against runs that are given up by a report that does not show it.
func TestNewLeaderReleasesRunsWhoseLeasesHaveExpired(t *testing.T) {
	unanswered := reportWithStartTime(1)
	unanswered.Unreachable = true
	expired := unanswered
	expired.LeaseExpired = true
	otherIncarnation := reportWithStartTime(2)
	otherIncarnation.Unreachable, otherIncarnation.LeaseExpired = true, true
	for name, c := range map[string]struct {
		report       link.Report
		earlierEpoch bool
		phase        job.Phase
	}{
		"worker does not answer":                   {report: unanswered, phase: job.Placed},
		"its leases have expired":                  {report: expired, phase: job.Waiting},
		"agent still follows the earlier leader":   {report: expired, earlierEpoch: true, phase: job.Placed},
		"another incarnation":                      {report: otherIncarnation, phase: job.Placed},
		"restarted agent knows no worker":          {report: link.Report{VM: "vm"}, phase: job.Placed},
		"no lease of its previous process is left": {report: link.Report{VM: "vm", LeaseExpired: true}, phase: job.Waiting},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, a := kvtest.New(), &fakeAgent{vm: "vm"}
				earlier := termWithStartTime(t, store, a)
				store.RemoveLeasedKeys()
				leader, err := newTestEntry("f", store).tryAcquire(t.Context())
				assert.NilError(t, err)
				assert.NilError(t, leader.load(t.Context()))
				report := c.report
				report.Fenced, report.Epoch = false, leader.epoch
				if c.earlierEpoch {
					report.Epoch = earlier.epoch
				}
				_, err = leader.report(fakeSession{a}, report)
				assert.NilError(t, err)
				assert.Equal(t, testTask(leader).Phase(), c.phase)
			})
		})
	}
}

// TestWorkerThatMayStillHoldALeaseIsNotReleased guards against a second run beside one on a restarted worker: the process of its agent that knew of its
// lease has ended, and the next one reports that those which it could know of have expired.
func TestWorkerThatMayStillHoldALeaseIsNotReleased(t *testing.T) {
	const lease = 6 * time.Second
	for name, nextLeader := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, a := kvtest.New(), &fakeAgent{vm: "vm"}
				leader := testTerm(t, store)
				placed := reportWithStartTime(1)
				placed.MaxLeaseMillis = lease.Milliseconds()
				reportAndRun(t, leader, a, placed)
				assert.Equal(t, testTask(leader).Phase(), job.Placed)
				if nextLeader {
					leader = takeOverFrom(t, store, "f")
				}
				expired := link.Report{VM: "vm", Epoch: leader.epoch, LeaseExpired: true}
				for _, c := range []struct {
					after time.Duration
					phase job.Phase
				}{{0, job.Placed}, {lease - time.Millisecond, job.Placed}, {time.Millisecond, job.Waiting}} {
					time.Sleep(c.after)
					_, err := leader.report(fakeSession{a}, expired)
					assert.NilError(t, err)
					assert.Equal(t, testTask(leader).Phase(), c.phase)
				}
			})
		})
	}
}
