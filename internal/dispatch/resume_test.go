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

// TestResumedLeaderPermitsNothingBeforeVerification: the next lead takes over once the lease is over, and places anew what it has not
// heard of 10.4 s after that. By the steady clock a lead that wakes would permit 5 s more, whenever that is.
func TestResumedLeaderPermitsNothingBeforeVerification(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				term := testTerm(t, kvtest.New())
				a := &fakeAgent{vm: "vm"}
				clock, ok := term.dispatcher.config.Uptime.(*boottimetest.Clock)
				assert.Assert(t, ok)
				clock.Suspend(d)
				answer, err := term.report(fakeSession{a}, testReport("i1"))
				assert.NilError(t, err)
				assert.Equal(t, answer.LeaseMillis, max(min(agentLease, leaderTimeout-d), 0).Milliseconds())
				assert.Equal(t, answer.Unverified, d > staleVerificationAfter)
				assert.NilError(t, term.verifyLeadership(t.Context()))
				answer, err = term.report(fakeSession{a}, testReport("i1"))
				assert.NilError(t, err)
				assert.Equal(t, answer.LeaseMillis, agentLease.Milliseconds(), "it has proved that it leads")
			})
		})
	}
}
