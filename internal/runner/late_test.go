package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestLateStartOnRestartedWorkerDelaysStopReport guards against a task that runs again beside its replacement, or after its acknowledged end, as with
// seeds 9107 and 8909 of the soak.
//
// A start gets no answer and is stopped, which the worker acknowledges; the leader places the task elsewhere, where it completes; the worker crashes
// and returns under its id, and carries out the late start before the agent detects the new incarnation. A stop binds only the incarnation that
// acknowledged it, and the start was still pending afterwards.
func TestLateStartOnRestartedWorkerDelaysStopReport(t *testing.T) {
	for _, c := range []struct {
		name                  string
		idReused, longRunning bool
		delayed               bool
	}{
		{"worker returned before", true, false, true},
		{"worker never returned", false, false, false},
		{"long-running task", true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{answerStart: noAnswer}
				r := newIncarnationTest(t, worker)
				defer r.cancelOrders()
				orders := startOrders()
				orders.StartMillis, orders.Starts[0].LongRunning = firstIncarnation.StartMillis(), c.longRunning
				if c.idReused {
					restartWorker(r, worker)
					orders.StartMillis = secondIncarnation.StartMillis()
					r.agentLeaseEnd, r.hall.confirmedAt = r.config.Uptime.Now().Add(time.Minute), r.config.Uptime.Now()
				}
				_, err := r.handleOrders(t.Context(), nil, orders)
				assert.NilError(t, err)
				time.Sleep(3 * time.Second)
				assert.Equal(t, len(worker.stopped()), 1)
				report, _ := r.compose()
				assert.Equal(t, len(report.Pending) == 1, c.delayed, "%v", report.Pending)
				assert.Equal(t, len(report.Rejected) == 0, c.delayed, "%v", report.Rejected)
				time.Sleep(host.MaxCallDelay)
				report, _ = r.compose()
				assert.Equal(t, len(report.Pending), 0)
				assert.DeepEqual(t, report.Rejected, []link.Rejected{{Run: wireRun(testRun(1)), Refusal: int(host.RefusedOld)}})
			})
		})
	}
}

// TestRefusedStartDoesNotDelayStopReport guards against a job that waits 15 s for a start that the worker has refused.
//
// A worker crashes and returns under its id, with a clock that is ahead. A start ordered for the previous incarnation reaches the next one, which refuses
// it as late; the agent detects the next incarnation before it sends the start again. The start counted as one without an answer, so that the end of its
// stop was reported 15 s later and the task waited that long.
func TestRefusedStartDoesNotDelayStopReport(t *testing.T) {
	for name, answer := range map[string]func() (host.Refusal, error){
		"late": func() (host.Refusal, error) { return host.RefusedLate, nil },
		"unavailable": func() (host.Refusal, error) {
			return host.RefusedInvalid, fault.New(fault.Unavailable, "connection refused")
		},
		"capacity": func() (host.Refusal, error) { return host.RefusedCapacity, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{answerStart: answer}
				r := newIncarnationTest(t, worker)
				defer r.cancelOrders()
				orders := startOrders()
				orders.StartMillis = firstIncarnation.StartMillis()
				_, err := r.handleOrders(t.Context(), nil, orders)
				assert.NilError(t, err)
				synctest.Wait()
				assert.Equal(t, len(worker.started()), 1)
				worker.restart(secondIncarnation)
				r.Reported(reportFrom(secondIncarnation, 1))
				synctest.Wait()
				assert.Equal(t, r.worker.id, secondIncarnation)
				_, err = r.handleOrders(t.Context(), nil, link.Orders{
					Epoch: 3, Instance: "i-1", StartMillis: secondIncarnation.StartMillis(), Stops: []link.Run{wireRun(testRun(1))},
				})
				assert.NilError(t, err)
				time.Sleep(2 * time.Second)
				report, _ := r.compose()
				assert.Equal(t, len(report.Pending), 0, "%v", report.Pending)
				assert.DeepEqual(t, report.Rejected, []link.Rejected{{Run: wireRun(testRun(1)), Refusal: int(host.RefusedOld)}})
			})
		})
	}
}

// TestStartInFlightIsStoppedOnTheNextIncarnation guards against a start whose answer is still awaited when its worker returns under its id: the next
// incarnation may carry it out, so it is stopped there, and its task waits until no start of it may arrive.
func TestStartInFlightIsStoppedOnTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: func() (host.Refusal, error) { time.Sleep(time.Second); return noAnswer() }}
		r := newIncarnationTest(t, worker)
		defer r.cancelOrders()
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		synctest.Wait()
		worker.restart(secondIncarnation)
		r.Reported(reportFrom(secondIncarnation, 1))
		synctest.Wait()
		assert.DeepEqual(t, worker.stopped(), []host.Run{testRun(1)})
		time.Sleep(host.MaxCallDelay - time.Second)
		report, _ := r.compose()
		assert.Equal(t, len(report.Pending), 1)
		time.Sleep(3 * time.Second)
		report, _ = r.compose()
		assert.DeepEqual(t, report.Rejected, []link.Rejected{{Run: wireRun(testRun(1)), Refusal: int(host.RefusedOld)}})
	})
}
