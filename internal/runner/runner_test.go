package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const testClosureDelay = 5 * time.Second

// sameIncarnation compares incarnations by their value.
var sameIncarnation = cmp.Comparer(func(a, b incarnation.ID) bool { return a == b })

// testID is the incarnation of the worker of newTest.
var testID = incarnation.New("i-1", 0)

var testTask = job.TaskID{Job: "00000000000000aa"}

func testRun(number int) host.Run { return host.Run{Task: testTask, Number: number} }

// newTest returns an agent that follows epoch 3 and has a worker and an agent lease of 5 seconds.
func newTest(worker *fakeWorker) *Runner {
	r := New(Config{VM: "vm", ClosureDelay: testClosureDelay, Worker: worker, Logger: logging.Discard(), Clock: timeline.NewClock(time.Now), Uptime: &boottimetest.Clock{}, Random: func() float64 { return 0.5 }, Metrics: metric.New()})
	r.Reported(host.Report{Incarnation: testID, Service: "s", Capacity: job.Size{CPU: 4000, Memory: 1000}, Sequence: 1})
	r.epoch = 3
	r.fences.grant(3, 3, 3)
	r.agentLeaseEnd = r.config.Uptime.Now().Add(5 * time.Second)
	r.hall.confirmedAt = r.config.Uptime.Now()
	return r
}

func startOrders() link.Orders {
	return link.Orders{Epoch: 3, Instance: "i-1", Texts: map[string]string{"00000000000000aa": "text"}, Starts: []link.Start{
		{Profile: link.Profile{Run: link.Run{Task: testTask.String(), Number: 1}, CPU: 1000}},
	}}
}

func accept() (host.Refusal, error) { return host.Accepted, nil }

func noAnswer() (host.Refusal, error) {
	return host.RefusedInvalid, fault.New(fault.OutcomeUnknown, "no answer")
}

func TestStartIsCarriedOutOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		proceed := make(chan struct{})
		worker := &fakeWorker{answerStart: func() (host.Refusal, error) {
			<-proceed
			return accept()
		}}
		r := newTest(worker)
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		_, err = r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		close(proceed)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 1)
		assert.Equal(t, worker.started()[0].Fence, uint64(3))
		assert.Equal(t, worker.started()[0].Text, "text")
	})
}

func TestUnansweredStartIsWithdrawnByAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: noAnswer}
		r := newTest(worker)
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(worker.started()), maxStartAttempts)
		assert.DeepEqual(t, worker.stopped(), []host.Run{testRun(1)})
		// It is reported as never started only after two views that do not list its end.
		report, _ := r.compose()
		assert.Equal(t, len(report.Rejected), 0)
		assert.Equal(t, len(report.Pending), 1)
		r.recordRenewal(context.Background(), testID, host.Renewal{}, host.View{})
		r.recordRenewal(context.Background(), testID, host.Renewal{}, host.View{})
		report, _ = r.compose()
		assert.Equal(t, len(report.Rejected), 1)
	})
}

func TestOrdersForAnotherIncarnationOrEpochAreRefused(t *testing.T) {
	worker := &fakeWorker{answerStart: accept}
	r := newTest(worker)
	other := startOrders()
	other.Instance = "i-0"
	_, err := r.handleOrders(context.Background(), nil, other)
	assert.Assert(t, fault.Is(err, fault.Stale))
	earlier := startOrders()
	earlier.Epoch = 2
	_, err = r.handleOrders(context.Background(), nil, earlier)
	assert.Assert(t, fault.Is(err, fault.Stale))
	assert.Equal(t, len(worker.started()), 0)
}

func TestNothingStartsOnADrainingWorker(t *testing.T) {
	worker := &fakeWorker{answerStart: accept}
	r := newTest(worker)
	r.Reported(host.Report{Incarnation: testID, Service: "s", Draining: true, Sequence: 2})
	_, err := r.handleOrders(context.Background(), nil, startOrders())
	assert.NilError(t, err)
	assert.Equal(t, len(worker.started()), 0)
	// A delayed earlier report does not end the draining.
	r.Reported(host.Report{Incarnation: testID, Service: "s", Sequence: 1})
	assert.Assert(t, r.worker.report.Draining)
}

func TestStartsAreWithdrawnAfterAgentLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: func() (host.Refusal, error) {
			time.Sleep(10 * time.Second)
			return noAnswer()
		}}
		r := newTest(worker)
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		time.Sleep(6 * time.Second)
		r.mu.Lock()
		r.withdrawStarts(r.worker)
		r.mu.Unlock()
		time.Sleep(30 * time.Second)
		assert.Equal(t, len(worker.started()), 1)
		assert.DeepEqual(t, worker.stopped(), []host.Run{testRun(1)})
		_, err = r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 1)
	})
}

func TestRunDeadlineEndsWithAgentLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		w := r.worker
		w.clock, w.clockReadAt = host.Clock(100*time.Second), time.Now()
		r.agentLeaseEnd = r.config.Uptime.Now().Add(2 * time.Second)
		// By a worker's clock that is 2 % slow, two seconds are 1.96 seconds.
		assert.Equal(t, time.Duration(r.runDeadline(w)), 100*time.Second+1960*time.Millisecond)
		r.agentLeaseEnd = r.config.Uptime.Now().Add(time.Minute)
		assert.Equal(t, time.Duration(r.runDeadline(w)), 100*time.Second+time.Duration(host.MinClockRate*float64(runLease)))
		r.agentLeaseEnd = r.config.Uptime.Now()
		assert.Equal(t, r.runDeadline(w), host.Clock(0))
	})
}

func TestLeaseOfUnreachableWorkerExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		_, _, ok := r.nextRenewal()
		assert.Assert(t, ok)
		time.Sleep(unreachableAfter + time.Millisecond)
		r.recordFailedRenewal(testID, time.Now(), fault.New(fault.OutcomeUnknown, "no answer"))
		report, _ := r.compose()
		assert.Assert(t, report.Unreachable && !report.LeaseExpired)
		_, renewal, _ := r.nextRenewal()
		assert.Equal(t, renewal.Until, host.Clock(0))
		time.Sleep(runLease)
		report, _ = r.compose()
		assert.Assert(t, report.LeaseExpired)
		r.recordRenewal(context.Background(), testID, host.Renewal{}, host.View{})
		report, _ = r.compose()
		assert.Assert(t, !report.Unreachable)
	})
}

func TestNewEpochDiscardsOrdersOfThePrevious(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: noAnswer}
		r := newTest(worker)
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		assert.NilError(t, r.adoptLeader(nil, record.Leader{Epoch: 4}))
		time.Sleep(5 * time.Second)
		assert.Assert(t, len(worker.started()) <= 1)
		report, _ := r.compose()
		assert.Equal(t, len(report.Pending), 0)
		assert.Assert(t, !report.Fenced)
		assert.Assert(t, fault.Is(r.adoptLeader(nil, record.Leader{Epoch: 3}), fault.Stale))
	})
}

func TestEndsAreReportedUntilAcknowledged(t *testing.T) {
	r := newTest(&fakeWorker{answerStart: accept})
	ended := host.View{Ended: []host.EndedRun{{Sequence: 7, Run: testRun(1), End: job.EndDone}}}
	assert.Assert(t, r.recordRenewal(context.Background(), testID, host.Renewal{Fence: 3}, ended))
	report, w := r.compose()
	assert.Assert(t, report.Fenced)
	assert.Equal(t, len(report.Ended), 1)
	w.applyAnswer(report, link.ReportAnswer{Epoch: 3})
	assert.Equal(t, w.acknowledgedEnds, uint64(0))
	w.applyAnswer(report, link.ReportAnswer{Epoch: 3, AcknowledgedEnds: 7})
	_, renewal, _ := r.nextRenewal()
	assert.Equal(t, renewal.Acknowledged, uint64(7))
}

// Runs of the tests of paces: a serving task with a target of 10 ms, and a best-effort task.
var (
	servingRun    = host.Run{Task: job.TaskID{Job: "00000000000000bb"}, Number: 1}
	bestEffortRun = host.Run{Task: job.TaskID{Job: "00000000000000cc"}, Number: 1}
)

// addTestTasks adds the profiles of a serving and a best-effort task.
func addTestTasks(r *Runner) {
	r.worker.profiles[servingRun] = link.Profile{Run: wireRun(servingRun), Image: "web", CPU: 1000, TargetMillis: 10, LongRunning: true}
	r.worker.profiles[bestEffortRun] = link.Profile{Run: wireRun(bestEffortRun), Image: "mail", CPU: 1000, BestEffort: true}
}

// showTail applies a view with a tail latency of the serving task, in milliseconds, beside the best-effort task.
func showTail(r *Runner, tail int) {
	r.recordRenewal(context.Background(), testID, host.Renewal{Fence: 3}, host.View{Running: []host.Running{
		{Run: servingRun, Percent: 100, Measurement: tail}, {Run: bestEffortRun, Measurement: 500},
	}})
}

// TestNoBestEffortStartDuringSustainedViolation guards against best-effort tasks that start two seconds after a serving task began to violate its
// target, which it then did for four seconds.
func TestNoBestEffortStartDuringSustainedViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		addTestTasks(r)
		showTail(r, 5)
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			showTail(r, 20)
		}
		orders := startOrders()
		orders.Starts[0].BestEffort = true
		_, err := r.handleOrders(context.Background(), nil, orders)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 0)
		orders = startOrders()
		orders.Starts[0].Number = 2
		_, err = r.handleOrders(context.Background(), nil, orders)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 1, "a task that is not best-effort starts")
	})
}

// TestNewBestEffortTaskIsThrottledDuringViolation guards against a task of another image that runs at full pace until paces are next chosen.
func TestNewBestEffortTaskIsThrottledDuringViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		addTestTasks(r)
		showTail(r, 5)
		for range 6 {
			time.Sleep(500 * time.Millisecond)
			showTail(r, 20)
		}
		newRun := host.Run{Task: job.TaskID{Job: "00000000000000dd"}, Number: 1}
		r.worker.profiles[newRun] = link.Profile{Run: wireRun(newRun), Image: "scan", CPU: 1000, BestEffort: true}
		r.recordRenewal(context.Background(), testID, host.Renewal{Fence: 3}, host.View{Running: []host.Running{
			{Run: servingRun, Percent: 100, Measurement: 20}, {Run: newRun, Measurement: 500},
		}})
		assert.Equal(t, r.worker.paceOf(newRun), pacing.Min)
	})
}

// TestViolationAtFirstViewCountsAsSustained guards against an agent that restarts beside a task that already violates its target, and takes two
// seconds more to throttle what slows it down.
func TestViolationAtFirstViewCountsAsSustained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		addTestTasks(r)
		for range 4 {
			showTail(r, 20)
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, r.worker.paceOf(bestEffortRun), pacing.Min)
	})
}

// TestPaceUsesLoadReportedByTheLeader checks that the load reported by the leader is used: it predicts from all workers that a load is about to rise,
// which the measurements of one task on one worker do not show yet. A load reported too long ago is not used.
func TestPaceUsesLoadReportedByTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		addTestTasks(r)
		w, serving := r.worker, host.Running{Run: servingRun, Percent: 100, Measurement: 5}
		w.applyAnswer(link.Report{}, link.ReportAnswer{LoadFrequency: 0.6, Loads: map[string]link.Load{
			servingRun.Task.StepName(): {Headroom: 2, Slope: -1, Mean: 2, Deviation: 0.2},
		}})
		headroom, deviation := w.predictHeadroom(time.Now(), serving, w.profiles[servingRun], nil)
		assert.Assert(t, headroom < 1.6 && headroom > 1.3, "%.2f", headroom)
		assert.Equal(t, deviation, 0.2)
		time.Sleep(maxLoadAge + time.Millisecond)
		headroom, _ = w.predictHeadroom(time.Now(), serving, w.profiles[servingRun], nil)
		assert.Assert(t, headroom > 1.8, "%.2f", headroom)
	})
}
