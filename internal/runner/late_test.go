package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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
