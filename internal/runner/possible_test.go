package runner

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// TestPossibleRunsOfAnIncarnation: what the worker accepted or listed, and what was asked for of late; not what ended, nor what it does
// not list once a start for it no longer counts.
func TestPossibleRunsOfAnIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := make(possible)
		for number := range 4 {
			runs.recordStart(testRun(number))
		}
		runs.recordAccepted(testRun(1))
		time.Sleep(time.Second)
		runs.recordStart(testRun(4))
		runs.applyView(host.View{
			Running: []host.Running{{Run: testRun(2)}, {Run: testRun(7)}}, Ended: []host.EndedRun{{Run: testRun(3)}},
		}, time.Now())
		assert.Equal(t, len(runs.runsAtEnd(time.Now())), 5, "all but run 3, which has ended: %v", runs.runsAtEnd(time.Now()))
		assert.Equal(t, runs[testRun(1)].age(), time.Duration(0), "it was never listed")
		assert.Equal(t, runs[testRun(1)].ageAt(time.Time{}), time.Duration(0))
		assert.Equal(t, runs[testRun(1)].ageAt(time.Now().Add(-100*time.Millisecond)), 900*time.Millisecond, "the worker crashed just before")
		assert.Equal(t, runs[testRun(2)].age(), time.Second)
		assert.Equal(t, runs[testRun(7)].age(), time.Duration(0), "when it began is not known")
		time.Sleep(runLease - time.Second)
		assert.Equal(t, len(runs.runsAtEnd(time.Now())), 4, "run 0 was asked for too long ago")
		runs.applyView(host.View{Running: []host.Running{{Run: testRun(2)}}}, time.Now())
		assert.DeepEqual(t, runNumbers(runs), []int{2, 4, 7})
		time.Sleep(runLease)
		runs.applyView(host.View{Running: []host.Running{{Run: testRun(2)}}}, time.Now())
		assert.DeepEqual(t, runNumbers(runs), []int{2})
	})
}

// runNumbers returns the runNumbers of the runs that a life may have had, in order.
func runNumbers(runs possible) []int {
	var found []int
	for _, run := range runs.runsAtEnd(time.Now()) {
		found = append(found, run.Number)
	}
	slices.Sort(found)
	return found
}

// TestUnsentStartIsNotAttributedACrash: the worker was gone before the start left.
func TestUnsentStartIsNotAttributedACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: func() (host.Refusal, error) {
			return host.RefusedInvalid, fault.New(fault.Unavailable, "connection refused")
		}}
		r := newTest(worker)
		_, err := r.handleOrders(t.Context(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 1)
		assert.Equal(t, len(r.worker.possibleRuns), 0)
		time.Sleep(time.Minute)
	})
}

// TestRunOrderedAgainAfterACrashIsReported failed with no run named: a lead that does not see a run orders it again,
// and the worker, which is gone, takes no connection; that the start then was not sent says nothing of the first time.
func TestRunOrderedAgainAfterACrashIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, worker := newStartedTest(t)
		worker.mu.Lock()
		worker.answerStart = func() (host.Refusal, error) {
			return host.RefusedInvalid, fault.New(fault.Unavailable, "connection refused")
		}
		worker.mu.Unlock()
		_, err := r.handleOrders(t.Context(), nil, startOrders())
		assert.NilError(t, err)
		// Not at a moment at which the next hold begins.
		time.Sleep(900 * time.Millisecond)
		restartUnderNewID(r, worker)
		told := reportedCrashes(r)
		assert.Equal(t, len(told), 1)
		assert.DeepEqual(t, told[0].Runs, []link.CrashedRun{{Run: wireRun(testRun(1)), Answered: true}})
	})
}

// newStartedTest returns an agent that holds a worker which has accepted the test's run.
func newStartedTest(t *testing.T) (*Runner, *fakeWorker) {
	t.Helper()
	worker := &fakeWorker{current: testID, answerStart: accept}
	r := newTest(worker)
	startLoops(t, r)
	_, err := r.handleOrders(t.Context(), nil, startOrders())
	assert.NilError(t, err)
	synctest.Wait()
	return r, worker
}

// restartUnderNewID ends the life of a worker, and lets its agent find the next one.
func restartUnderNewID(r *Runner, worker *fakeWorker) {
	worker.restart(incarnation.New("i-3", 0))
	r.Reported(host.Report{Incarnation: incarnation.New("i-3", 0), Service: "s", Sequence: 1})
	time.Sleep(time.Second)
}

// reportedCrashes returns what a report tells of crashes.
func reportedCrashes(r *Runner) []link.Crash {
	report, _ := r.compose()
	return report.Crashes
}

// TestCrashIsReportedUntilALeaderCommitsIt, also to the next lead.
func TestCrashIsReportedUntilALeaderCommitsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, worker := newStartedTest(t)
		restartUnderNewID(r, worker)
		told := reportedCrashes(r)
		assert.Equal(t, len(told), 1)
		assert.Equal(t, told[0].Instance, "i-1")
		assert.DeepEqual(t, told[0].Runs, []link.CrashedRun{{Run: wireRun(testRun(1)), Answered: true}})
		assert.NilError(t, r.adoptLeader(nil, record.Leader{Epoch: 4}))
		assert.Equal(t, len(reportedCrashes(r)), 1, "the next lead is told as well")
		r.crashes.acknowledge(told[0].Number - 1)
		assert.Equal(t, len(reportedCrashes(r)), 1)
		r.crashes.acknowledge(told[0].Number)
		assert.Equal(t, len(reportedCrashes(r)), 0)
	})
}

// TestReportHasTimeOfFirstFailedCall, so that a lead sees which workers crashed at one moment.
func TestReportHasTimeOfFirstFailedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, worker := newStartedTest(t)
		r.recordFailedRenewal(testID, time.Now(), fault.New(fault.Unavailable, "connection refused"))
		time.Sleep(300 * time.Millisecond)
		report, _ := r.compose()
		assert.Equal(t, report.FirstFailureMillis, int64(300))
		restartUnderNewID(r, worker)
		report, _ = r.compose()
		assert.Equal(t, report.FirstFailureMillis, int64(0))
		assert.Equal(t, report.Crashes[0].FirstFailureMillis, int64(1300))
	})
}

// TestPlannedEndIsReportedAsPlanned: the worker had said that it leaves, or took its leave.
func TestPlannedEndIsReportedAsPlanned(t *testing.T) {
	for name, leave := range map[string]func(*Runner){
		"draining": func(r *Runner) {
			r.Reported(host.Report{Incarnation: testID, Service: "s", Sequence: 2, Draining: true})
		},
		"left": func(r *Runner) { r.Left(testID) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, worker := newStartedTest(t)
				leave(r)
				restartUnderNewID(r, worker)
				told := reportedCrashes(r)
				assert.Equal(t, len(told), 1)
				assert.Assert(t, told[0].Planned)
				assert.Equal(t, len(told[0].Runs), 0)
			})
		})
	}
}

// TestUnacknowledgedCrashesAreBounded: the latest are kept.
func TestUnacknowledgedCrashesAreBounded(t *testing.T) {
	var c crashes
	forgotten := 0
	for range 3 * maxCrashes {
		forgotten += len(c.add(link.Crash{}, time.Time{}))
	}
	assert.Equal(t, forgotten, 2*maxCrashes)
	assert.Equal(t, len(c.unacknowledged), maxCrashes)
	assert.Equal(t, c.unacknowledged[maxCrashes-1].crash.Number, uint64(3*maxCrashes))
}

// TestCrashWithoutRunsIsReported, so that a lead does not hold it against what it had only placed there.
func TestCrashWithoutRunsIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{current: testID, answerStart: accept}
		r := newTest(worker)
		startLoops(t, r)
		time.Sleep(time.Second)
		restartUnderNewID(r, worker)
		told := reportedCrashes(r)
		assert.Equal(t, len(told), 1)
		assert.Equal(t, len(told[0].Runs), 0)
	})
}

// TestStoppedRunTakesNoCapacity once the lists show that the incarnation which answered the stop lives on.
func TestStoppedRunTakesNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newStartedTest(t)
		defer r.cancelOrders()
		_, err := r.handleOrders(t.Context(), nil, link.Orders{Epoch: 3, Instance: "i-1", Stops: []link.Run{wireRun(testRun(1))}})
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(r.worker.possibleRuns), 1)
		time.Sleep((viewsAfterEvent + 1) * renewalWait)
		assert.Equal(t, len(r.worker.possibleRuns), 0)
	})
}
