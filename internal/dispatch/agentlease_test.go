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

// TestLeaseIsGrantedForAWorkerThatMayHaveRuns checks which reports are answered with an agent lease.
func TestLeaseIsGrantedForAWorkerThatMayHaveRuns(t *testing.T) {
	confirmed := testReport("i1")
	unreachable, unanswered, undelivered, earlier := confirmed, confirmed, confirmed, confirmed
	unreachable.Unreachable = true
	unanswered.Fenced = false
	undelivered.Unreachable, undelivered.Fenced = true, false
	earlier.Epoch--
	for name, c := range map[string]struct {
		report  link.Report
		after   time.Duration
		granted bool
	}{
		"worker confirmed":                            {confirmed, time.Minute, true},
		"confirmed worker does not answer":            {unreachable, time.Minute, true},
		"worker not asked yet":                        {unanswered, 0, true},
		"worker never answered in this epoch":         {undelivered, 0, false},
		"report under an earlier epoch":               {earlier, 0, false},
		"agent restarted":                             {link.Report{VM: "vm", Epoch: FencesPerEpoch}, maxWorkerlessTime / 2, true},
		"agent without a worker for longer than that": {link.Report{VM: "vm", Epoch: FencesPerEpoch}, maxWorkerlessTime, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader, s := testTerm(t, kvtest.New()), fakeSession{&fakeAgent{vm: "vm"}}
				_, err := leader.report(s, c.report)
				assert.NilError(t, err)
				time.Sleep(c.after)
				assert.NilError(t, leader.verifyLeadership(t.Context()))
				answer, err := leader.report(s, c.report)
				assert.NilError(t, err)
				assert.Equal(t, answer.LeaseMillis > 0, c.granted)
			})
		})
	}
}

// TestNothingIsPlacedOnAWorkerThatItsAgentDoesNotConfirm guards against tasks that wait on a worker that is gone, because the agent, which was
// restarted and does not know the worker, is granted leases for a while.
func TestNothingIsPlacedOnAWorkerThatItsAgentDoesNotConfirm(t *testing.T) {
	unanswered := testReport("i1")
	unanswered.Fenced = false
	for name, r := range map[string]link.Report{"no worker": {VM: "vm"}, "worker not asked yet": unanswered} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader, s := testTerm(t, kvtest.New()), fakeSession{&fakeAgent{vm: "vm"}}
				_, err := leader.report(s, testReport("i1"))
				assert.NilError(t, err)
				r.Epoch = leader.epoch
				for began := time.Now(); time.Since(began) < maxReportAge; time.Sleep(100 * time.Millisecond) {
					answer, err := leader.report(s, r)
					assert.NilError(t, err)
					assert.Assert(t, answer.LeaseMillis > 0)
				}
				assert.NilError(t, leader.closures.Load(t.Context()))
				runCycle(t, leader)
				assert.Equal(t, testTask(leader).Phase(), job.Waiting)
				_, err = leader.report(s, testReport("i1"))
				assert.NilError(t, err)
				runCycle(t, leader)
				assert.Equal(t, testTask(leader).Phase(), job.Placed)
			})
		})
	}
}
