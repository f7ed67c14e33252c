package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// TestLateOrderReachesRunningIncarnation checks that a late start is executed by the next incarnation under the same id, and
// by none while the worker is down. A worker that was down executed such starts, which no call could reach, crashed again
// with them, and opened its address twice.
func TestLateOrderReachesRunningIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		down    time.Duration
		started int
	}{
		"down": {time.Minute, 0},
		"back": {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			checker := NewChecker()
			w := NewWorker("w", "north", "", workerCapacity, checker)
			w.SetIdentities(SameIDClockBehind)
			previous := w.incarnation
			id := job.ID("00000000000000aa")
			checker.RecordJob(id, job.Spec{Text: "work=1s", Steps: []job.Step{demoStep(1, time.Second)}})
			w.Crash()
			w.backAt = time.Now().Add(c.down)
			start := order{Task: job.TaskID{Job: id}.String(), Run: 1, Spec: "work=1s", LeaseEnd: previous.clock() + 3000, Fence: 1}
			w.executeLate("/run-start", previous, start)
			assert.Equal(t, checker.startCount, c.started)
			assert.Equal(t, len(w.incarnation.running), c.started)
		})
	}
}

// TestLateFirstCallsAreReported checks the bound on the median, which applies once there are enough calls.
func TestLateFirstCallsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		calls    int
		after    time.Duration
		reported bool
	}{
		"soon":         {minFirstCalls, maxMedianFirstCall, false},
		"late":         {minFirstCalls, maxMedianFirstCall + 1, true},
		"late but few": {minFirstCalls - 1, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			checker := NewChecker()
			for range c.calls {
				checker.recordFirstCall(c.after)
			}
			assert.Equal(t, checker.checkFirstCalls() != nil, c.reported)
		})
	}
}
