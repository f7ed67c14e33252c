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

// TestRunsThatALifeMayHaveHad: what the worker accepted or listed, and what was asked for of late; not what ended, nor what it does
// not list once a start for it no longer counts.
func TestRunsThatALifeMayHaveHad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := make(possible)
		for number := range 4 {
			runs.ask(testRun(number))
		}
		runs.answer(testRun(1))
		time.Sleep(time.Second)
		runs.ask(testRun(4))
		runs.show(host.View{
			Running: []host.Running{{Run: testRun(2)}, {Run: testRun(7)}}, Ended: []host.EndedRun{{Run: testRun(3)}},
		}, time.Now())
		assert.Equal(t, len(runs.left(time.Now())), 5, "all but run 3, which has ended: %v", runs.left(time.Now()))
		assert.Equal(t, runs[testRun(1)].age(), time.Duration(0), "it was never listed")
		assert.Equal(t, runs[testRun(1)].ageAt(time.Time{}), time.Duration(0))
		assert.Equal(t, runs[testRun(1)].ageAt(time.Now().Add(-100*time.Millisecond)), 900*time.Millisecond, "the worker crashed just before")
		assert.Equal(t, runs[testRun(2)].age(), time.Second)
		assert.Equal(t, runs[testRun(7)].age(), time.Duration(0), "when it began is not known")
		time.Sleep(holdTime - time.Second)
		assert.Equal(t, len(runs.left(time.Now())), 4, "run 0 was asked for too long ago")
		runs.show(host.View{Running: []host.Running{{Run: testRun(2)}}}, time.Now())
		assert.DeepEqual(t, numbers(runs), []int{2, 4, 7})
		time.Sleep(holdTime)
		runs.show(host.View{Running: []host.Running{{Run: testRun(2)}}}, time.Now())
		assert.DeepEqual(t, numbers(runs), []int{2})
	})
}

// numbers returns the numbers of the runs that a life may have had, in order.
func numbers(runs possible) []int {
	var found []int
	for _, run := range runs.left(time.Now()) {
		found = append(found, run.Number)
	}
	slices.Sort(found)
	return found
}

// TestStartThatWasNotSentIsNotHeldAgainstItsTask: the worker was gone before the start left.
func TestStartThatWasNotSentIsNotHeldAgainstItsTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{start: func() (host.Refusal, error) {
			return host.RefusedInvalid, fault.New(fault.Unavailable, "connection refused")
		}}
		r := newTest(worker)
		_, err := r.takeOrders(t.Context(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 1)
		assert.Equal(t, len(r.worker.begun), 0)
		time.Sleep(time.Minute)
	})
}

// TestRunThatIsOrderedAgainAfterTheCrashIsStillNamed failed with no run named: a lead that does not see a run orders it again,
// and the worker, which is gone, takes no connection; that the start then was not sent says nothing of the first time.
func TestRunThatIsOrderedAgainAfterTheCrashIsStillNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, worker := startedTest(t)
		worker.mu.Lock()
		worker.start = func() (host.Refusal, error) {
			return host.RefusedInvalid, fault.New(fault.Unavailable, "connection refused")
		}
		worker.mu.Unlock()
		_, err := r.takeOrders(t.Context(), nil, startOrders())
		assert.NilError(t, err)
		// Not at a moment at which the next hold begins.
		time.Sleep(900 * time.Millisecond)
		returnAnew(r, worker)
		told := crashedUnder(r)
		assert.Equal(t, len(told), 1)
		assert.DeepEqual(t, told[0].Runs, []link.CrashedRun{{Run: wireRun(testRun(1)), Answered: true}})
	})
}

// startedTest returns an agent that holds a worker which has accepted the test's run.
func startedTest(t *testing.T) (*Runner, *fakeWorker) {
	t.Helper()
	worker := &fakeWorker{present: testID, start: accept}
	r := newTest(worker)
	held(t, r)
	_, err := r.takeOrders(t.Context(), nil, startOrders())
	assert.NilError(t, err)
	synctest.Wait()
	return r, worker
}

// returnAnew ends the life of a worker, and lets its agent find the next one.
func returnAnew(r *Runner, worker *fakeWorker) {
	worker.restart(incarnation.New("i-3", 0))
	r.Reported(host.Report{Incarnation: incarnation.New("i-3", 0), Service: "s", Sequence: 1})
	time.Sleep(time.Second)
}

// crashedUnder returns what a report tells of crashes.
func crashedUnder(r *Runner) []link.Crash {
	report, _ := r.compose()
	return report.Crashes
}

// TestCrashIsToldUntilALeadHasCommittedIt, also to the next lead.
func TestCrashIsToldUntilALeadHasCommittedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, worker := startedTest(t)
		returnAnew(r, worker)
		told := crashedUnder(r)
		assert.Equal(t, len(told), 1)
		assert.Equal(t, told[0].Instance, "i-1")
		assert.DeepEqual(t, told[0].Runs, []link.CrashedRun{{Run: wireRun(testRun(1)), Answered: true}})
		assert.NilError(t, r.adopt(nil, record.Leader{Epoch: 4}))
		assert.Equal(t, len(crashedUnder(r)), 1, "the next lead is told as well")
		r.crashes.committed(told[0].Number - 1)
		assert.Equal(t, len(crashedUnder(r)), 1)
		r.crashes.committed(told[0].Number)
		assert.Equal(t, len(crashedUnder(r)), 0)
	})
}

// TestReportsTellSinceWhenCallsHaveBeenBreakingOff, so that a lead sees which workers crashed at one moment.
func TestReportsTellSinceWhenCallsHaveBeenBreakingOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, worker := startedTest(t)
		r.unheld(testID, time.Now(), fault.New(fault.Unavailable, "connection refused"))
		time.Sleep(300 * time.Millisecond)
		report, _ := r.compose()
		assert.Equal(t, report.FirstFailureMillis, int64(300))
		returnAnew(r, worker)
		report, _ = r.compose()
		assert.Equal(t, report.FirstFailureMillis, int64(0))
		assert.Equal(t, report.Crashes[0].FirstFailureMillis, int64(1300))
	})
}

// TestPlannedEndOfALifeIsToldAsSuch: the worker had said that it leaves, or took its leave.
func TestPlannedEndOfALifeIsToldAsSuch(t *testing.T) {
	for name, leave := range map[string]func(*Runner){
		"draining": func(r *Runner) {
			r.Reported(host.Report{Incarnation: testID, Service: "s", Sequence: 2, Draining: true})
		},
		"left": func(r *Runner) { r.Left(testID) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, worker := startedTest(t)
				leave(r)
				returnAnew(r, worker)
				told := crashedUnder(r)
				assert.Equal(t, len(told), 1)
				assert.Assert(t, told[0].Planned)
				assert.Equal(t, len(told[0].Runs), 0)
			})
		})
	}
}

// TestCrashesThatNoLeadHearsOfAreBounded: the latest are kept.
func TestCrashesThatNoLeadHearsOfAreBounded(t *testing.T) {
	var c crashes
	forgotten := 0
	for range 3 * mostCrashes {
		forgotten += len(c.add(link.Crash{}, time.Time{}))
	}
	assert.Equal(t, forgotten, 2*mostCrashes)
	assert.Equal(t, len(c.untold), mostCrashes)
	assert.Equal(t, c.untold[mostCrashes-1].crash.Number, uint64(3*mostCrashes))
}

// TestCrashUnderNoRunIsTold, so that a lead does not hold it against what it had only placed there.
func TestCrashUnderNoRunIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{present: testID, start: accept}
		r := newTest(worker)
		held(t, r)
		time.Sleep(time.Second)
		returnAnew(r, worker)
		told := crashedUnder(r)
		assert.Equal(t, len(told), 1)
		assert.Equal(t, len(told[0].Runs), 0)
	})
}

// TestStoppedRunTakesNoRoom once the lists show that the incarnation which answered the stop lives on.
func TestStoppedRunTakesNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := startedTest(t)
		defer r.abandon()
		_, err := r.takeOrders(t.Context(), nil, link.Orders{Epoch: 3, Instance: "i-1", Stops: []link.Run{wireRun(testRun(1))}})
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(r.worker.begun), 1)
		time.Sleep((viewsToShow + 1) * holdWait)
		assert.Equal(t, len(r.worker.begun), 0)
	})
}
