package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// slowAcquisition is a store that carries out the acquisition of leadership late.
type slowAcquisition struct {
	*kvtest.Store
	delay time.Duration
}

// Commit implements kv.Store.
func (s slowAcquisition) Commit(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
	if len(txn.Puts) > 0 && txn.Puts[0].Key == record.LeaderKey {
		time.Sleep(s.delay)
	}
	return s.Store.Commit(ctx, txn)
}

// TestRunsAreGivenUpAfterLeasesOfPreviousLeader guards against a task that runs twice: while the store carries out the acquisition of a new leader
// late, the previous one verifies its leadership and grants leases that the new leader must await.
func TestRunsAreGivenUpAfterLeasesOfPreviousLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		previous := termWithStartTime(t, store, a)
		reportAndRun(t, previous, a, withFirstRun(reportWithStartTime(1)))
		store.RemoveLeasedKeys()
		acquired := make(chan *term)
		go func() {
			next, err := newTestEntry("f", slowAcquisition{store, 800 * time.Millisecond}).tryAcquire(t.Context())
			assert.Check(t, err)
			assert.Check(t, next.load(t.Context()))
			acquired <- next
		}()
		time.Sleep(700 * time.Millisecond)
		assert.NilError(t, previous.verifyLeadership(t.Context()))
		next := <-acquired
		var leaseEnd time.Time
		for placed := true; placed; time.Sleep(10 * time.Millisecond) {
			sentAt := time.Now()
			answer, err := previous.report(fakeSession{a}, link.Report{VM: "vm", Epoch: previous.epoch, Instance: "i1", StartMillis: 1, Fenced: true})
			assert.NilError(t, err)
			if end := sentAt.Add(time.Duration(answer.LeaseMillis) * time.Millisecond); end.After(leaseEnd) {
				leaseEnd = end
			}
			next.schedule()
			placed = testTask(next).Phase() == job.Placed
		}
		assert.Assert(t, time.Now().After(leaseEnd), "the runs are given up %v before the lease ends", time.Until(leaseEnd))
	})
}
