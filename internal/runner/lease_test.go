package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
)

// confirm lets a worker answer a renewal under the current fence.
func confirm(t *testing.T, r *Runner) {
	t.Helper()
	r.recordRenewal(t.Context(), r.worker.id, host.Renewal{Fence: r.fences.current}, host.View{Clock: r.worker.clock + 1})
}

// TestUnconfirmedIncarnationGetsNoLease guards against a lease on the clock of the previous incarnation: a call that sets one was sent although the worker
// might have restarted under its id, and lasted there for as long as the worker grants at most.
func TestUnconfirmedIncarnationGetsNoLease(t *testing.T) {
	for name, interrupt := range map[string]func(r *Runner){
		"never answered": func(r *Runner) { r.worker = r.newWorker(reportFrom(firstIncarnation, 1), time.Now()) },
		"call failed": func(r *Runner) {
			r.recordFailedRenewal(r.worker.id, time.Now(), fault.New(fault.OutcomeUnknown, "no answer"))
		},
		"answered long ago": func(*Runner) {
			time.Sleep(minRestartTime + time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTest(&fakeWorker{})
				confirm(t, r)
				_, renewal, _ := r.nextRenewal()
				assert.Assert(t, renewal.Until > 0)
				interrupt(r)
				_, renewal, _ = r.nextRenewal()
				assert.Equal(t, renewal.Until, host.Clock(0))
				assert.Equal(t, renewal.Wait, time.Duration(0), "the next one sets the lease")
				confirm(t, r)
				_, renewal, _ = r.nextRenewal()
				assert.Assert(t, renewal.Until > 0)
			})
		})
	}
}

// TestUnconfirmedIncarnationGetsNoStart guards against a start that reaches the next incarnation with a deadline on the previous one's clock.
func TestUnconfirmedIncarnationGetsNoStart(t *testing.T) {
	for name, answers := range map[string]bool{"it answers again": true, "it does not": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{answerStart: accept}
				r := newTest(worker)
				confirm(t, r)
				r.recordFailedRenewal(r.worker.id, time.Now(), fault.New(fault.OutcomeUnknown, "no answer"))
				_, err := r.handleOrders(context.Background(), nil, startOrders())
				assert.NilError(t, err)
				time.Sleep(orderRetryDelay / 2)
				assert.Equal(t, len(worker.started()), 0)
				if answers {
					confirm(t, r)
				}
				time.Sleep(time.Second)
				assert.Equal(t, len(worker.started()) == 1, answers)
				confirm(t, r)
				confirm(t, r)
				report, _ := r.compose()
				assert.Equal(t, len(report.Rejected) == 0, answers, "a start that was not sent is reported as rejected")
			})
		})
	}
}

// TestFenceIsRaisedAboveRenewalsThatSetALease guards against a renewal without an answer that the next incarnation carries out seconds later, under the
// fence that it has received.
func TestFenceIsRaisedAboveRenewalsThatSetALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{})
		r.fences = fences{}
		r.fences.grant(3, 1, 3)
		confirm(t, r)
		_, renewal, _ := r.nextRenewal()
		assert.Assert(t, renewal.Until > 0)
		r.recordFailedRenewal(r.worker.id, time.Now(), fault.New(fault.OutcomeUnknown, "no answer"))
		_, next, _ := r.nextRenewal()
		assert.Assert(t, next.Fence > renewal.Fence)
		r.recordFailedRenewal(r.worker.id, time.Now(), fault.New(fault.OutcomeUnknown, "no answer"))
		_, again, _ := r.nextRenewal()
		assert.Equal(t, again.Fence, next.Fence, "a renewal that sets nothing uses no fence")
	})
}

// TestNextIncarnationIsFencedAboveCallsForThePrevious guards against a worker that is used before it rejects all calls for its previous incarnation.
func TestNextIncarnationIsFencedAboveCallsForThePrevious(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{})
		r.fences = fences{}
		r.fences.grant(3, 1, 3)
		r.worker = r.newWorker(reportFrom(firstIncarnation, 1), time.Now())
		confirm(t, r)
		r.config.MaxRenewal = 6 * time.Second
		before := r.fences.use()
		r.replaceWorker(r.newWorker(reportFrom(secondIncarnation, 1), time.Now()))
		time.Sleep(time.Second)
		r.recordRenewal(t.Context(), secondIncarnation, host.Renewal{Fence: before}, host.View{Clock: 1})
		report, _ := r.compose()
		assert.Assert(t, !report.Fenced)
		r.recordRenewal(t.Context(), secondIncarnation, host.Renewal{Fence: r.fences.current}, host.View{Clock: 2})
		report, _ = r.compose()
		assert.Assert(t, report.Fenced)
		assert.Assert(t, report.MaxLeaseMillis > r.config.MaxRenewal.Milliseconds(), "a call may have set the lease until just now, and the clock may be slow")
		time.Sleep(5 * time.Second)
		confirm(t, r)
		report, _ = r.compose()
		assert.Assert(t, report.MaxLeaseMillis < 2000, "it is set by no such call since")
	})
}

// TestLastFenceOfALeaderSuffices checks an agent whose leader grants a single fence, as those of the previous release do.
func TestLastFenceOfALeaderSuffices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{})
		confirm(t, r)
		r.fences.use()
		r.replaceWorker(r.newWorker(reportFrom(secondIncarnation, 1), time.Now()))
		confirm(t, r)
		report, _ := r.compose()
		assert.DeepEqual(t, []any{report.Fenced, report.Incarnation()}, []any{true, secondIncarnation}, sameIncarnation)
	})
}

// TestIncarnationThatEndedUnderItsIDMayHoldALease guards against a run that is given up while the next incarnation, which has carried out its start, has not
// reported yet: the lease of the ended one had expired.
func TestIncarnationThatEndedUnderItsIDMayHoldALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{}
		r := newIncarnationTest(t, worker)
		r.config.MaxRenewal = 10 * time.Second
		expired := func() bool {
			report, _ := r.compose()
			return report.LeaseExpired
		}
		worker.setUnavailable(true)
		time.Sleep(2 * runLease)
		assert.Assert(t, expired())
		worker.restart(secondIncarnation)
		worker.setUnavailable(false)
		time.Sleep(time.Second)
		assert.Assert(t, !expired())
		time.Sleep(11 * time.Second)
		assert.Assert(t, expired())
	})
}
