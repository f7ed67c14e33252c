package runner

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// Incarnations of one worker; the second has an earlier start time than the first, as after a clock change.
var (
	firstIncarnation  = incarnation.New("i-1", 1_700_000_000_000)
	secondIncarnation = incarnation.New("i-1", 1_600_000_000_000)
)

// reportFrom returns a report of an incarnation.
func reportFrom(id incarnation.ID, sequence uint64) host.Report {
	return host.Report{Incarnation: id, Service: "s", Capacity: job.Size{CPU: 4000, Memory: 1000}, Sequence: sequence}
}

// newIncarnationTest returns an agent that renews the first incarnation of a worker, with running and ended runs and a clock that is far ahead.
func newIncarnationTest(t *testing.T, worker *fakeWorker) *Runner {
	t.Helper()
	worker.current = firstIncarnation
	worker.view = host.View{
		Clock:   host.Clock(time.Hour),
		Running: []host.Running{{Run: testRun(3)}}, Ended: []host.EndedRun{{Sequence: 57, Run: testRun(2), End: job.EndDone}},
	}
	r := newTest(worker)
	r.worker = newWorkerState(reportFrom(firstIncarnation, 4000), time.Now())
	startLoops(t, r)
	time.Sleep(time.Second)
	return r
}

// restartWorker restarts the worker under the same id, without runs.
func restartWorker(r *Runner, worker *fakeWorker) {
	worker.restart(secondIncarnation)
	worker.setView(host.View{Clock: host.Clock(time.Millisecond)})
	time.Sleep(time.Second)
	r.Reported(reportFrom(secondIncarnation, 1))
	time.Sleep(time.Second)
}

// TestNextIncarnationInheritsNoState checks that the next incarnation under the same id inherits neither views, reports, clock, lease nor
// acknowledgements.
func TestNextIncarnationInheritsNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{}
		r := newIncarnationTest(t, worker)
		draining := reportFrom(firstIncarnation, 4001)
		draining.Draining = true
		r.Reported(draining)
		before, state := r.compose()
		assert.Equal(t, len(before.Running), 1)
		state.applyAnswer(before, link.ReportAnswer{AcknowledgedEnds: 57})
		restartWorker(r, worker)
		report, _ := r.compose()
		assert.Equal(t, report.Incarnation(), secondIncarnation)
		assert.Equal(t, len(report.Running)+len(report.Ended), 0)
		assert.Assert(t, report.Fenced && !report.Draining && !report.Unreachable)
		assert.Equal(t, r.worker.acknowledgedEnds, uint64(0))
		assert.Equal(t, r.worker.report.Sequence, uint64(1))
		assert.Assert(t, r.worker.clock < host.Clock(time.Minute))
	})
}

// TestEndOfNewIncarnationIsNotAcknowledgedEarly guards against a lost end: sequences restart, and calls for the previous incarnation reach the next.
func TestEndOfNewIncarnationIsNotAcknowledgedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{}
		r := newIncarnationTest(t, worker)
		report, state := r.compose()
		state.applyAnswer(report, link.ReportAnswer{AcknowledgedEnds: 57})
		time.Sleep(time.Second)
		assert.Equal(t, worker.acknowledged(firstIncarnation), uint64(57))
		restartWorker(r, worker)
		assert.Equal(t, worker.acknowledged(secondIncarnation), uint64(0))
		worker.setView(host.View{Clock: host.Clock(time.Second), Ended: []host.EndedRun{{Sequence: 1, Run: testRun(4), End: job.EndDone}}})
		time.Sleep(time.Second)
		assert.Equal(t, worker.acknowledged(secondIncarnation), uint64(0), "no leader has committed it")
		report, state = r.compose()
		assert.Equal(t, len(report.Ended), 1)
		state.applyAnswer(report, link.ReportAnswer{AcknowledgedEnds: 1})
		time.Sleep(time.Second)
		assert.Equal(t, worker.acknowledged(secondIncarnation), uint64(1))
	})
}

// TestAcknowledgementWaitsForAnAnswer checks an agent that was suspended or whose call failed: it does not know which incarnation it will reach.
func TestAcknowledgementWaitsForAnAnswer(t *testing.T) {
	for name, interrupt := range map[string]func(r *Runner){
		"suspended": func(r *Runner) { r.worker.confirmedAt = r.worker.confirmedAt.Add(-2 * minRestartTime) },
		"failed":    func(r *Runner) { r.recordFailedRenewal(firstIncarnation, time.Now(), errSameID) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTest(&fakeWorker{})
				r.worker = newWorkerState(reportFrom(firstIncarnation, 1), time.Now())
				view := host.View{Incarnation: firstIncarnation, Ended: []host.EndedRun{{Sequence: 7, Run: testRun(1)}}}
				time.Sleep(time.Second)
				r.recordRenewal(t.Context(), firstIncarnation, host.Renewal{}, view)
				r.worker.acknowledgedEnds = 7
				assert.Equal(t, r.acknowledged(r.worker), uint64(7))
				interrupt(r)
				assert.Equal(t, r.acknowledged(r.worker), uint64(0))
			})
		})
	}
}

// TestLateStartIsStoppedOnTheNextIncarnation covers a worker that carries out an unanswered start seconds later, also after a restart.
func TestLateStartIsStoppedOnTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: noAnswer}
		r := newIncarnationTest(t, worker)
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(worker.stopped()), 1, "it is withdrawn where it was sent")
		restartWorker(r, worker)
		assert.DeepEqual(t, worker.stopped(), []host.Run{testRun(1), testRun(1)})
		time.Sleep(host.MaxCallDelay)
		worker.restart(firstIncarnation)
		r.Reported(reportFrom(incarnation.New("i-1", 7), 1))
		time.Sleep(time.Second)
		assert.Equal(t, len(worker.stopped()), 2, "no start is carried out that late")
	})
}

// TestOrdersForAnEndedIncarnationAreNotCarriedOut also covers the time before the next incarnation reports, when the calls would reach it.
func TestOrdersForAnEndedIncarnationAreNotCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newIncarnationTest(t, worker)
		worker.restart(secondIncarnation)
		time.Sleep(time.Second)
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err, "the leader cannot know of the end yet")
		time.Sleep(time.Second)
		assert.Equal(t, len(worker.started()), 0)
		restartWorker(r, worker)
		_, err = r.handleOrders(t.Context(), nil, orders)
		assert.ErrorContains(t, err, "has ended")
		orders.StartMillis = 0
		r.agentLeaseEnd, r.hall.confirmedAt = r.config.Uptime.Now().Add(5*time.Second), r.config.Uptime.Now()
		_, err = r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err, "a leader of the previous release omits the start time")
		time.Sleep(time.Second)
		assert.Equal(t, len(worker.started()), 1)
	})
}

// TestLeaseOfPreviousIncarnationMayApplyToNext covers a renewal that reached the next incarnation with a deadline on the previous one's clock.
func TestLeaseOfPreviousIncarnationMayApplyToNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{}
		r := newIncarnationTest(t, worker)
		r.config.MaxRenewal = 10 * time.Second
		restartWorker(r, worker)
		r.worker.unreachable = true
		time.Sleep(8 * time.Second)
		r.worker.unreachable = true
		report, _ := r.compose()
		assert.Assert(t, !report.LeaseExpired)
	})
}

// TestIncarnationIsConfirmedByTheWorker checks that reports with another start time, or none, change nothing: they come from unknown senders.
func TestIncarnationIsConfirmedByTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{}
		r := newIncarnationTest(t, worker)
		for _, claimed := range []incarnation.ID{incarnation.New("i-1", 0), incarnation.New("i-1", 7), secondIncarnation} {
			r.Reported(reportFrom(claimed, 9000))
			time.Sleep(time.Second)
			report, _ := r.compose()
			assert.Equal(t, report.Incarnation(), firstIncarnation)
			assert.Assert(t, !report.Unreachable)
		}
	})
}

// TestRunOnNextIncarnationIsNotAttributedTheCrash guards against a job that is given up though no two workers crashed under a task of it.
//
// A worker crashes and returns under its id; a start for the previous incarnation reaches the next one, which accepts it, before the agent detects the
// next incarnation. The crash was attributed to the run accepted last, and a job is given up after two such crashes.
func TestRunOnNextIncarnationIsNotAttributedTheCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newIncarnationTest(t, worker)
		worker.restart(secondIncarnation)
		worker.setView(host.View{Clock: host.Clock(time.Millisecond), Running: []host.Running{{Run: testRun(1)}}})
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		crashes := reportedCrashes(r)
		assert.Equal(t, len(crashes), 1)
		assert.Equal(t, len(crashes[0].Runs), 1)
		assert.Equal(t, crashes[0].Runs[0].Number, 3, "it was listed by the incarnation that crashed")
	})
}

// TestIncarnationThatNeverAnsweredHasNotCrashed covers a report by an unknown sender before the worker's own.
func TestIncarnationThatNeverAnsweredHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{current: firstIncarnation}
		r := newTest(worker)
		startLoops(t, r)
		time.Sleep(time.Second)
		r.Reported(reportFrom(firstIncarnation, 1))
		time.Sleep(time.Second)
		report, _ := r.compose()
		assert.Equal(t, report.Incarnation(), firstIncarnation)
		assert.Equal(t, len(report.Crashes), 0)
	})
}

// TestRunsOfACrashedIncarnationAreSettled checks that a run is settled once it was listed and no start of it may still be carried out.
func TestRunsOfACrashedIncarnationAreSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newIncarnationTest(t, worker)
		defer r.cancelOrders()
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		synctest.Wait()
		r.recordLateStart(firstIncarnation, testRun(4), time.Now())
		for range viewsAfterEvent {
			r.worker.possibleRuns.applyView(host.View{Running: []host.Running{{Run: testRun(3)}, {Run: testRun(4)}}}, time.Now())
		}
		restartWorker(r, worker)
		settled := make(map[int]bool)
		for _, run := range reportedCrashes(r)[0].Runs {
			settled[run.Number] = run.Settled
		}
		assert.DeepEqual(t, settled, map[int]bool{1: false, 3: true, 4: false})
	})
}

// TestStopOnTheNextIncarnationHidesNoCrash guards against a task that crashes its workers and is started three more times after three of them have
// crashed, as in a soak (seed 9107).
//
// A worker crashes under a run and the leader orders the stop of the run; the worker returns under its id and answers the stop; the agent detects the
// new incarnation some milliseconds later. The agent attributed the answer to the crashed incarnation, removed the run, and reported a crash without
// it: it logged a crash with "runs=0" 2 ms after the stops of five runs there.
func TestStopOnTheNextIncarnationHidesNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newIncarnationTest(t, worker)
		defer r.cancelOrders()
		orders := startOrders()
		orders.StartMillis = firstIncarnation.StartMillis()
		_, err := r.handleOrders(t.Context(), nil, orders)
		assert.NilError(t, err)
		synctest.Wait()
		worker.restart(secondIncarnation)
		_, err = r.handleOrders(t.Context(), nil, link.Orders{Epoch: 3, Instance: "i-1", StartMillis: firstIncarnation.StartMillis(), Stops: []link.Run{wireRun(testRun(1))}})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, len(worker.stopped()), 1)
		report, _ := r.compose()
		assert.Equal(t, len(report.Crashes), 1)
		assert.Assert(t, slices.ContainsFunc(report.Crashes[0].Runs, func(run link.CrashedRun) bool { return run.Run == wireRun(testRun(1)) && run.Answered }),
			"%v", report.Crashes[0].Runs)
	})
}

// TestRunThatTheNextIncarnationHasIsReported guards against a leader that is not told that a run goes on on the next incarnation, and takes it for lost.
func TestRunThatTheNextIncarnationHasIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{}
		r := newIncarnationTest(t, worker)
		worker.restart(secondIncarnation)
		worker.setView(host.View{Clock: host.Clock(time.Millisecond), Running: []host.Running{{Run: testRun(3)}, {Run: testRun(4)}}})
		time.Sleep(time.Second)
		crashes := reportedCrashes(r)
		assert.Equal(t, len(crashes), 1)
		assert.Equal(t, len(crashes[0].Runs), 0)
		assert.DeepEqual(t, crashes[0].Next, []link.Run{wireRun(testRun(3))})
	})
}
