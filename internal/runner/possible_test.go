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

// TestPossibleRunsOfAnIncarnation covers runs that the worker accepted or listed and recent starts, but neither ended runs nor runs that it does not
// list after their starts have expired.
func TestPossibleRunsOfAnIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := make(runSet)
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
		assert.Equal(t, runs[testRun(1)].age(), time.Duration(0), "the run was never listed")
		assert.Equal(t, runs[testRun(1)].ageAt(time.Time{}), time.Duration(0))
		assert.Equal(t, runs[testRun(1)].ageAt(time.Now().Add(-100*time.Millisecond)), 900*time.Millisecond, "the worker crashed 100 ms ago")
		assert.Equal(t, runs[testRun(2)].age(), time.Second)
		assert.Equal(t, runs[testRun(7)].age(), time.Duration(0), "the start time of the run is unknown")
		time.Sleep(runLease - time.Second)
		assert.Equal(t, len(runs.runsAtEnd(time.Now())), 4, "the start of run 0 has expired")
		runs.applyView(host.View{Running: []host.Running{{Run: testRun(2)}}}, time.Now())
		assert.DeepEqual(t, runNumbers(runs), []int{2, 4, 7})
		time.Sleep(runLease)
		runs.applyView(host.View{Running: []host.Running{{Run: testRun(2)}}}, time.Now())
		assert.DeepEqual(t, runNumbers(runs), []int{2})
	})
}

// runNumbers returns the sorted numbers of the runs that an incarnation may have had.
func runNumbers(runs runSet) []int {
	var found []int
	for _, run := range runs.runsAtEnd(time.Now()) {
		found = append(found, run.Number)
	}
	slices.Sort(found)
	return found
}

// TestUnsentStartIsNotAttributedACrash covers a worker that ended before the start was sent.
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

// TestRunOrderedAgainAfterACrashIsReported guards against a crash report without the run: a leader orders a run again that is missing from reports,
// and the ended worker refuses the connection. That the second start was not sent does not undo the first.
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
		// The time must differ from the start of the next renewal.
		time.Sleep(900 * time.Millisecond)
		restartUnderNewID(r, worker)
		crashes := reportedCrashes(r)
		assert.Equal(t, len(crashes), 1)
		assert.DeepEqual(t, crashes[0].Runs, []link.CrashedRun{{Run: wireRun(testRun(1)), Answered: true}})
	})
}

// newStartedTest returns an agent whose worker has accepted the test's run.
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

// restartUnderNewID ends the worker's incarnation and reports the next one to the agent.
func restartUnderNewID(r *Runner, worker *fakeWorker) {
	worker.restart(incarnation.New("i-3", 0))
	r.Reported(host.Report{Incarnation: incarnation.New("i-3", 0), Service: "s", Sequence: 1})
	time.Sleep(time.Second)
}

// reportedCrashes returns the crashes in the agent's next report.
func reportedCrashes(r *Runner) []link.Crash {
	report, _ := r.compose()
	return report.Crashes
}

// TestCrashIsReportedUntilALeaderCommitsIt also checks that the next leader gets the report.
func TestCrashIsReportedUntilALeaderCommitsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, worker := newStartedTest(t)
		restartUnderNewID(r, worker)
		crashes := reportedCrashes(r)
		assert.Equal(t, len(crashes), 1)
		assert.Equal(t, crashes[0].Instance, "i-1")
		assert.DeepEqual(t, crashes[0].Runs, []link.CrashedRun{{Run: wireRun(testRun(1)), Answered: true}})
		assert.NilError(t, r.adoptLeader(nil, record.Leader{Epoch: 4}))
		assert.Equal(t, len(reportedCrashes(r)), 1, "the crash is reported to the next leader too")
		r.crashes.acknowledge(crashes[0].Number - 1)
		assert.Equal(t, len(reportedCrashes(r)), 1)
		r.crashes.acknowledge(crashes[0].Number)
		assert.Equal(t, len(reportedCrashes(r)), 0)
	})
}

// TestReportHasTimeOfFirstFailedCall checks the time by which a leader recognizes workers that crashed at the same time.
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

// TestPlannedEndIsReportedAsPlanned checks that an end is planned if the worker was draining or had deregistered.
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
				crashes := reportedCrashes(r)
				assert.Equal(t, len(crashes), 1)
				assert.Assert(t, crashes[0].Planned)
				assert.Equal(t, len(crashes[0].Runs), 0)
			})
		})
	}
}

// TestUnacknowledgedCrashesAreBounded checks that the latest crashes are kept.
func TestUnacknowledgedCrashesAreBounded(t *testing.T) {
	var c crashes
	discarded := 0
	for range 3 * maxCrashes {
		discarded += len(c.add(link.Crash{}, time.Time{}))
	}
	assert.Equal(t, discarded, 2*maxCrashes)
	assert.Equal(t, len(c.unacknowledged), maxCrashes)
	assert.Equal(t, c.unacknowledged[maxCrashes-1].crash.Number, uint64(3*maxCrashes))
}

// TestCrashWithoutRunsIsReported guards against a leader that attributes the crash to tasks that it had only placed there.
func TestCrashWithoutRunsIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{current: testID, answerStart: accept}
		r := newTest(worker)
		startLoops(t, r)
		time.Sleep(time.Second)
		restartUnderNewID(r, worker)
		crashes := reportedCrashes(r)
		assert.Equal(t, len(crashes), 1)
		assert.Equal(t, len(crashes[0].Runs), 0)
	})
}

// TestStoppedRunTakesNoCapacity checks that a stopped run is removed once later views show that the incarnation which answered the stop is still
// running.
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
