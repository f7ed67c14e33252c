package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
)

// TestResumedLeaderGrantsNothingBeforeVerification guards against a leader that grants agent leases after its VM was suspended. The next leader
// takes over once the leader lease has expired and places unreported tasks again 10.4 s later. By the monotonic clock, which stops during the
// suspension, the resumed leader would still grant 5 s.
func TestResumedLeaderGrantsNothingBeforeVerification(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader := testTerm(t, kvtest.New())
				a := &fakeAgent{vm: "vm"}
				clock, ok := leader.dispatcher.config.Uptime.(*boottimetest.Clock)
				assert.Assert(t, ok)
				clock.Suspend(d)
				answer, err := leader.report(fakeSession{a}, testReport("i1"))
				assert.NilError(t, err)
				assert.Equal(t, answer.LeaseMillis, max(min(agentLease, leaderTimeout-d), 0).Milliseconds())
				assert.Equal(t, answer.Unverified, d > staleVerificationAfter)
				assert.NilError(t, leader.verifyLeadership(t.Context()))
				answer, err = leader.report(fakeSession{a}, testReport("i1"))
				assert.NilError(t, err)
				assert.Equal(t, answer.LeaseMillis, agentLease.Milliseconds(), "the leadership is verified")
			})
		})
	}
}
