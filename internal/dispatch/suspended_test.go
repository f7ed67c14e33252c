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

// TestLeadThatWokePermitsNothingByAnOldProof: the next lead takes over once the lease is over, and places anew what it has not
// heard of 10.4 s after that. By the steady clock a lead that wakes would permit 5 s more, whenever that is.
func TestLeadThatWokePermitsNothingByAnOldProof(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				term := testTerm(t, kvtest.New())
				a := &fakeAgent{vm: "vm"}
				clock, ok := term.d.config.Uptime.(*boottimetest.Clock)
				assert.Assert(t, ok)
				clock.Suspend(d)
				answer, err := term.report(mailbox{a}, reportOf("i1"))
				assert.NilError(t, err)
				assert.Equal(t, answer.PermissionMillis, max(min(permission, trust-d), 0).Milliseconds())
				assert.Equal(t, answer.Doubtful, d > doubtAfter)
				assert.NilError(t, term.prove(t.Context()))
				answer, err = term.report(mailbox{a}, reportOf("i1"))
				assert.NilError(t, err)
				assert.Equal(t, answer.PermissionMillis, permission.Milliseconds(), "it has proved that it leads")
			})
		})
	}
}
