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

// suspend advances the uptime of an agent as if its VM had been suspended.
func suspend(t *testing.T, r *Runner, d time.Duration) {
	t.Helper()
	clock, ok := r.config.Uptime.(*boottimetest.Clock)
	assert.Assert(t, ok)
	clock.Suspend(d)
}

// TestResumedAgentDoesNotRenewBeyondItsLease guards against an agent that resumes and, by the steady clock, extends its worker's runs by as long as
// it was suspended: a leader gives runs up once an agent lease of 5 s has expired, and places them elsewhere.
func TestResumedAgentDoesNotRenewBeyondItsLease(t *testing.T) {
	for _, d := range []time.Duration{time.Second, 4 * time.Second, 5 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(d), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTest(&fakeWorker{answerStart: accept})
				suspend(t, r, d)
				// The worker answers the resumed agent, so that its clock is known.
				r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: host.Clock(time.Minute)})
				remaining := min(runLease, 5*time.Second-d)
				want := host.Clock(0)
				if remaining > 0 {
					want = host.Clock(time.Minute) + host.Clock(host.MinClockRate*float64(remaining))
				}
				assert.Equal(t, r.runDeadline(r.worker), want)
			})
		})
	}
}

// TestClockReadBeforeSuspensionIsNotAdvanced checks that the reading is not advanced by the suspension, in which the worker's clock may have stopped
// as well.
func TestClockReadBeforeSuspensionIsNotAdvanced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: host.Clock(time.Minute)})
		suspend(t, r, 2*time.Second)
		assert.Equal(t, r.runDeadline(r.worker), host.Clock(time.Minute)+host.Clock(host.MinClockRate*float64(3*time.Second)))
	})
}

// TestResumedAgentStartsNothingOnStaleState checks that nothing starts after the agent lease has expired, or with a stale hall state.
func TestResumedAgentStartsNothingOnStaleState(t *testing.T) {
	for _, d := range []time.Duration{hall.StaleAfter(testClosureDelay) + time.Millisecond, 5 * time.Second, 20 * time.Second} {
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

// TestRunsOfResumedWorkerAreStopped guards against a run that continues for 3.5 s after agent and worker resumed, by the worker's clock, which
// stopped during the suspension.
func TestRunsOfResumedWorkerAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: 1, Running: []host.Running{{Run: testRun(1)}}})
		_, _, ok := r.nextRenewal()
		assert.Assert(t, ok)
		synctest.Wait()
		assert.Equal(t, len(worker.stopped()), 0, "the agent lease has not expired")
		suspend(t, r, 20*time.Second)
		_, renewal, _ := r.nextRenewal()
		assert.Equal(t, renewal.Until, host.Clock(0))
		synctest.Wait()
		assert.DeepEqual(t, worker.stopped(), []host.Run{testRun(1)})
	})
}
