package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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
