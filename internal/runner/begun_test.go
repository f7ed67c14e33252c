package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
)

// TestRunsThatALifeMayHaveHad: what the worker accepted or listed, and what was asked for of late; not what ended.
func TestRunsThatALifeMayHaveHad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := make(begunRuns)
		for number := range 4 {
			runs.ask(testRun(number))
		}
		runs.answer(testRun(1))
		time.Sleep(holdTime)
		runs.show(host.View{
			Running: []host.Running{{Run: testRun(2)}, {Run: testRun(7)}}, Ended: []host.Ended{{Run: testRun(3)}},
		}, time.Now())
		left := runs.left(time.Now())
		assert.Equal(t, len(left), 3, "run 0 was asked for too long ago, run 3 has ended: %v", left)
		assert.Equal(t, runs[testRun(1)].age(), time.Duration(0), "it was never listed")
		assert.Equal(t, runs[testRun(2)].age(), holdTime)
		assert.Equal(t, runs[testRun(7)].age(), time.Duration(0), "when it began is not known")
	})
}

// TestStartThatWasNotSentIsNotHeldAgainstItsTask: the worker was gone before the start left.
func TestStartThatWasNotSentIsNotHeldAgainstItsTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{start: func() (host.Refusal, error) {
			return host.RefusedWrong, fault.New(fault.Unavailable, "connection refused")
		}}
		r := newTest(worker)
		_, err := r.takeOrders(t.Context(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 1)
		assert.Equal(t, len(r.life.begun), 0)
		time.Sleep(time.Minute)
	})
}
