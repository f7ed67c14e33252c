package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestNothingStartsOnAWorkerThatHasNotJustAnswered guards against a start that the next incarnation of a crashed worker carries out: the agent had not noticed
// the crash yet, since its renewal waited for a run to end.
func TestNothingStartsOnAWorkerThatHasNotJustAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		crash  func(worker *fakeWorker)
		starts int
	}{
		"answers":           {crash: func(*fakeWorker) {}, starts: 1},
		"has crashed":       {crash: func(w *fakeWorker) { w.setUnavailable(true) }},
		"has been replaced": {crash: func(w *fakeWorker) { w.restart(secondIncarnation) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{answerStart: accept}
				r := newIncarnationTest(t, worker)
				for confirmed := true; confirmed; time.Sleep(maxConfirmationAge) {
					r.mu.Lock()
					confirmed = r.confirmedWithin(r.worker, 2*maxConfirmationAge)
					r.mu.Unlock()
				}
				c.crash(worker)
				orders := startOrders()
				orders.StartMillis = firstIncarnation.StartMillis()
				_, err := r.handleOrders(t.Context(), nil, orders)
				assert.NilError(t, err)
				time.Sleep(time.Second)
				assert.Equal(t, len(worker.started()), c.starts)
			})
		})
	}
}

// TestStartOnAWorkerThatDoesNotAnswerIsRefusedSoon guards against tasks that wait for seconds on a worker that is down: nothing was sent, so they may be placed
// elsewhere at once.
func TestStartOnAWorkerThatDoesNotAnswerIsRefusedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newIncarnationTest(t, worker)
		worker.setUnavailable(true)
		time.Sleep(200 * time.Millisecond)
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, len(worker.started()), 0)
		o := r.worker.orders[testRun(1)]
		assert.Assert(t, o.final && o.refused == host.RefusedBusy)
	})
}

// TestStartIsStoppedIfAnEarlierCallForItIsOutstanding guards against a run that starts although it was reported as rejected: an order of an earlier leader
// was sent without an answer, and that of the next one was refused by the agent or never sent.
func TestStartIsStoppedIfAnEarlierCallForItIsOutstanding(t *testing.T) {
	for name, refuse := range map[string]func(r *Runner, worker *fakeWorker){
		"refused by the agent": func(r *Runner, _ *fakeWorker) { r.worker.report.Draining = true },
		"refused as busy": func(_ *Runner, worker *fakeWorker) {
			worker.answerStart = func() (host.Refusal, error) { return host.RefusedBusy, nil }
		},
		"not sent": func(r *Runner, _ *fakeWorker) { r.hall.confirmedAt = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{answerStart: accept}
				r := newIncarnationTest(t, worker)
				refuse(r, worker)
				r.recordLateStart(firstIncarnation, testRun(1), time.Now())
				orders := startOrders()
				orders.StartMillis, orders.Hall = firstIncarnation.StartMillis(), link.Hall{}
				_, err := r.handleOrders(t.Context(), nil, orders)
				assert.NilError(t, err)
				time.Sleep(3 * time.Second)
				assert.DeepEqual(t, worker.stopped(), []host.Run{testRun(1)})
			})
		})
	}
}

// TestRunIsSettledOnceItIsListedAfterItsStart guards against runs that stay placed for long after their worker was lost, since a view that lists them was
// awaited for up to a second, and against runs that count as settled by a view from before their latest start.
func TestRunIsSettledOnceItIsListedAfterItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newIncarnationTest(t, worker)
		view := host.View{Clock: host.Clock(time.Hour + time.Second), Running: []host.Running{{Run: testRun(1)}, {Run: testRun(3)}}}
		worker.setView(view)
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		time.Sleep(maxConfirmationAge)
		synctest.Wait()
		report, _ := r.compose()
		assert.Equal(t, len(report.Unsettled), 0)
		l, _ := r.nextLook()
		r.worker.possibleRuns.recordStart(testRun(1))
		r.recordLook(t.Context(), l, view)
		report, _ = r.compose()
		assert.DeepEqual(t, report.Unsettled, []link.Run{wireRun(testRun(1))})
	})
}

// TestWithdrawnRunIsReportedWhileAStartOfItIsOutstanding guards against a task that is placed elsewhere while a start without an answer is on its way, and
// against one that waits although its start was answered after all.
func TestWithdrawnRunIsReportedWhileAStartOfItIsOutstanding(t *testing.T) {
	for name, c := range map[string]struct {
		answer    func() (host.Refusal, error)
		withdrawn int
	}{
		"without an answer": {answer: noAnswer, withdrawn: 1},
		"refused":           {answer: func() (host.Refusal, error) { return host.RefusedBusy, nil }},
		"accepted":          {answer: accept},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{answerStart: c.answer}
				r := newIncarnationTest(t, worker)
				orders := startOrders()
				orders.StartMillis, orders.Starts[0].LongRunning = firstIncarnation.StartMillis(), true
				_, err := r.handleOrders(t.Context(), nil, orders)
				assert.NilError(t, err)
				time.Sleep(3 * time.Second)
				report, _ := r.compose()
				assert.Equal(t, len(report.Withdrawn), c.withdrawn)
				time.Sleep(host.MaxCallDelay)
				report, _ = r.compose()
				assert.Equal(t, len(report.Withdrawn), 0)
			})
		})
	}
}
