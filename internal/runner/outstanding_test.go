package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestOrderOfAnEndedIncarnationIsNotUnsettledForEver guards against a run that stays placed without end: the next incarnation answered once and is gone.
func TestOrderOfAnEndedIncarnationIsNotUnsettledForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: noAnswer}
		r := newIncarnationTest(t, worker)
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		time.Sleep(200 * time.Millisecond)
		worker.restart(secondIncarnation)
		time.Sleep(600 * time.Millisecond)
		worker.setUnavailable(true)
		time.Sleep(20 * time.Second)
		report, _ := r.compose()
		assert.Equal(t, len(report.Unsettled), 0)
	})
}

// TestEndedRunWithAnOutstandingStartIsReported guards against a task that is placed elsewhere after a failure while an earlier attempt of its start is on its way.
func TestEndedRunWithAnOutstandingStartIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		worker := &fakeWorker{answerStart: func() (host.Refusal, error) {
			if calls.Add(1) == 1 {
				return noAnswer()
			}
			return accept()
		}}
		r := newIncarnationTest(t, worker)
		orders := startOrders()
		orders.StartMillis, orders.Starts[0].LongRunning = firstIncarnation.StartMillis(), true
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		synctest.Wait()
		worker.setView(host.View{Clock: host.Clock(time.Hour + time.Second), Running: []host.Running{{Run: testRun(1)}}})
		time.Sleep(2 * time.Second)
		worker.setView(host.View{Clock: host.Clock(time.Hour + 3*time.Second), Ended: []host.EndedRun{{Sequence: 58, Run: testRun(1), End: job.EndFailed}}})
		time.Sleep(2 * time.Second)
		report, _ := r.compose()
		assert.DeepEqual(t, report.Withdrawn, []link.Run{wireRun(testRun(1))})
	})
}

// TestLookThatListsARunAsRunningAndEnded checks that an inconsistent view does not end the agent.
func TestLookThatListsARunAsRunningAndEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newIncarnationTest(t, &fakeWorker{answerStart: accept})
		l, _ := r.nextLook()
		r.recordLook(t.Context(), l, host.View{
			Clock: host.Clock(2 * time.Hour), Running: []host.Running{{Run: testRun(3)}},
			Ended: []host.EndedRun{{Sequence: 59, Run: testRun(3), End: job.EndFailed}},
		})
		report, _ := r.compose()
		assert.Equal(t, len(report.Ended), 1)
	})
}

// TestListedRunIsNotWithdrawn guards against a run that is stopped while it goes on: its start got no answer, and was carried out some time later.
func TestListedRunIsNotWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: noAnswer}
		r := newIncarnationTest(t, worker)
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
		worker.setView(host.View{Clock: host.Clock(time.Hour + time.Second), Running: []host.Running{{Run: testRun(1)}}})
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(worker.stopped()), 0)
		report, _ := r.compose()
		assert.Equal(t, len(report.Pending)+len(report.Rejected), 0)
	})
}

// slowWorker is a worker whose renewals take a time.
type slowWorker struct {
	*fakeWorker
	delay time.Duration
}

// Renew implements host.Worker.
func (s slowWorker) Renew(ctx context.Context, id incarnation.ID, h host.Renewal) (host.View, host.Refusal, error) {
	select {
	case <-ctx.Done():
		return host.View{}, host.RefusedInvalid, ctx.Err()
	case <-time.After(s.delay):
	}
	return s.fakeWorker.Renew(ctx, id, h)
}

// TestSlowWorkerGetsStarts guards against a slow worker on which nothing starts, since looks at it were given up.
func TestSlowWorkerGetsStarts(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 250 * time.Millisecond, 350 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{answerStart: accept, current: firstIncarnation, view: host.View{Clock: host.Clock(time.Hour)}}
				r := newTest(worker)
				r.config.Worker = slowWorker{worker, delay}
				r.worker = newWorkerState(reportFrom(firstIncarnation, 4000), time.Now())
				startLoops(t, r)
				time.Sleep(2300 * time.Millisecond)
				r.mu.Lock()
				r.agentLeaseEnd, r.hall.confirmedAt = r.config.Uptime.Now().Add(time.Minute), r.config.Uptime.Now().Add(time.Minute)
				r.mu.Unlock()
				orders := startOrders()
				orders.StartMillis = firstIncarnation.StartMillis()
				_, err := r.handleOrders(t.Context(), nil, orders)
				assert.NilError(t, err)
				time.Sleep(3 * time.Second)
				assert.Assert(t, len(worker.started()) > 0)
			})
		})
	}
}
