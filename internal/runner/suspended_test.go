package runner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/host"
)

// suspend lets the VM of an agent have been suspended for a time.
func suspend(t *testing.T, r *Runner, d time.Duration) {
	t.Helper()
	clock, ok := r.config.Uptime.(*boottimetest.Clock)
	assert.Assert(t, ok)
	clock.Suspend(d)
}

// TestResumedAgentDoesNotRenewBeyondItsLease: a lead gives runs up once a permission of 5 s is over, and places them
// elsewhere. By the steady clock an agent that wakes would hold its worker for as long again as it was suspended.
func TestResumedAgentDoesNotRenewBeyondItsLease(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTest(&fakeWorker{answerStart: accept})
				suspend(t, r, d)
				// The worker answers the agent that woke, so that its clock is known as of now.
				r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: host.Clock(time.Minute)})
				left := min(runLease, 5*time.Second-d)
				want := host.Clock(0)
				if left > 0 {
					want = host.Clock(time.Minute) + host.Clock(minClockRate*float64(left))
				}
				assert.Equal(t, r.runDeadline(r.worker), want)
			})
		})
	}
}

// TestClockReadBeforeSuspensionIsNotAdvanced: the worker may have stood still with its agent.
func TestClockReadBeforeSuspensionIsNotAdvanced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: host.Clock(time.Minute)})
		suspend(t, r, 2*time.Second)
		assert.Equal(t, r.runDeadline(r.worker), host.Clock(time.Minute)+host.Clock(minClockRate*float64(3*time.Second)))
	})
}

// TestResumedAgentStartsNothingOnStaleState: neither after its permission, nor after what it was told of its hall is stale.
func TestResumedAgentStartsNothingOnStaleState(t *testing.T) {
	for _, d := range []time.Duration{hall.StaleAfter(testClosedWithin) + time.Millisecond, 5 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{answerStart: accept}
				r := newTest(worker)
				suspend(t, r, d)
				_, err := r.handleOrders(t.Context(), nil, startOrders())
				assert.NilError(t, err)
				synctest.Wait()
				assert.Equal(t, len(worker.started()), 0)
			})
		})
	}
}

// TestRunsOfResumedWorkerAreStopped failed with the run going on for 3.5 s after both woke, by a worker's clock that had
// stood still.
func TestRunsOfResumedWorkerAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: 1, Running: []host.Running{{Run: testRun(1)}}})
		_, _, ok := r.nextRenewal()
		assert.Assert(t, ok)
		synctest.Wait()
		assert.Equal(t, len(worker.stopped()), 0, "it is permitted")
		suspend(t, r, 20*time.Second)
		_, hold, _ := r.nextRenewal()
		assert.Equal(t, hold.Until, host.Clock(0))
		synctest.Wait()
		assert.DeepEqual(t, worker.stopped(), []host.Run{testRun(1)})
	})
}
