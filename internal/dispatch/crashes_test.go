package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// crashReport returns a report of incarnation i2 with the crash of i1, which had a run of the job's task.
func crashReport(number uint64, run int) link.Report {
	r := testReport("i2")
	r.Crashes = []link.Crash{{Number: number, Instance: "i1", Runs: []link.CrashedRun{
		{Run: link.NewRun(job.TaskID{Job: testJob}, run), Answered: true},
	}}}
	return r
}

// TestCrashIsAcknowledgedOnceItIsCommitted also checks that a repeated report is not counted again, by this leader or the
// next.
func TestCrashIsAcknowledgedOnceItIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, store, a)
		answer, err := leader.report(fakeSession{a}, crashReport(7, 1))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedCrashes, uint64(0), "nothing is committed yet")
		runCycle(t, leader)
		answer, err = leader.report(fakeSession{a}, crashReport(7, 1))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedCrashes, uint64(7))
		task := job.TaskID{Job: testJob}
		assert.Equal(t, leader.jobs[testJob].job.CrashHistory(task).LikelyCrashes(), 1)
		store.RemoveLeasedKeys()
		next, err := newTestEntry("f", store).tryAcquire(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, next.load(t.Context()))
		repeated := crashReport(7, 1)
		repeated.Epoch = next.epoch
		_, err = next.report(fakeSession{a}, repeated)
		assert.NilError(t, err)
		assert.Equal(t, next.jobs[testJob].job.CrashHistory(task).LikelyCrashes(), 1, "it is loaded from the store and not counted again")
		runCycle(t, next)
	})
}

// TestSecondCrashAloneFailsTheJob guards against a task that is placed a third time after it crashed two workers as their only
// task.
func TestSecondCrashAloneFailsTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, kvtest.New(), a)
		_, err := leader.report(fakeSession{a}, crashReport(1, 1))
		assert.NilError(t, err)
		runCycle(t, leader)
		assert.Equal(t, leader.jobs[testJob].job.State(), job.Running)
		r := crashReport(2, 2)
		r.Instance = "i3"
		_, err = leader.report(fakeSession{a}, r)
		assert.NilError(t, err)
		runCycle(t, leader)
		assert.Equal(t, leader.jobs[testJob].job.State(), job.Failed)
		assert.Equal(t, len(leader.hosts.get(job.Host{VM: "vm", Incarnation: incarnation.New("i3", 0)}).runs), 0)
	})
}

// TestCrashReportedLateCountsForOtherSuspects guards against a crash that is attributed to no run: one of the tasks on the
// worker had crashed another worker since, and the count for its later run was mistaken for this crash.
func TestCrashReportedLateCountsForOtherSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := testTerm(t, kvtest.New())
		spec := job.Spec{Steps: []job.Step{{Count: 2}}}
		tracked := newTracked(job.New(testJob, spec, job.Queue{Service: testService}, time.Now()))
		leader.jobs[testJob] = tracked
		first, second := job.TaskID{Job: testJob}, job.TaskID{Job: testJob, Index: 1}
		for range 2 {
			tracked.job.Place(first, job.Host{}, 0)
			tracked.job.RecordEnd(first, tracked.job.Task(first).Run(), job.EndLapsed, "")
		}
		tracked.job.Place(second, job.Host{}, 0)
		crashOf := func(runs ...link.Run) link.Crash {
			c := link.Crash{Number: 1}
			for _, run := range runs {
				c.Runs = append(c.Runs, link.CrashedRun{Run: run, Answered: true})
			}
			return c
		}
		affected := make(map[*trackedJob]bool)
		leader.recordCrashes(&agent{vm: "a"}, link.Report{Crashes: []link.Crash{crashOf(link.NewRun(first, 2))}}, affected)
		leader.recordCrashes(&agent{vm: "b"}, link.Report{Crashes: []link.Crash{crashOf(link.NewRun(first, 1), link.NewRun(second, 1))}}, affected)
		assert.Equal(t, tracked.job.CrashHistory(first).Score(), 1)
		assert.Equal(t, tracked.job.CrashHistory(second).Score(), 1)
	})
}

// TestSimultaneousCrashesHaveACommonCause checks that a task that was starting on one of the workers is only a possible
// cause, so that it does not wait for a worker of its own.
func TestSimultaneousCrashesHaveACommonCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for others, crashes := range map[int]int{minSimultaneous - 1: 1, minSimultaneous: 0} {
			a := &fakeAgent{vm: "vm"}
			leader := termWithPlacedTask(t, kvtest.New(), a)
			for n := range others + 1 {
				unreachable := testReport("i1")
				unreachable.VM, unreachable.Unreachable, unreachable.FirstFailureMillis = fmt.Sprint(n), true, 1000
				if n == others {
					unreachable.FirstFailureMillis = 1000 + 2*simultaneousWindow.Milliseconds()
				}
				_, err := leader.report(fakeSession{&fakeAgent{vm: unreachable.VM}}, unreachable)
				assert.NilError(t, err)
			}
			r := crashReport(1, 1)
			r.Crashes[0].FirstFailureMillis = 1000
			_, err := leader.report(fakeSession{a}, r)
			assert.NilError(t, err)
			history := leader.jobs[testJob].job.CrashHistory(job.TaskID{Job: testJob})
			assert.Equal(t, history.LikelyCrashes(), crashes)
			assert.Equal(t, history.PossibleCrashes(), 1-crashes)
			runCycle(t, leader)
		}
	})
}

// TestSuspectsWaitForTheirOwnWorkerForABoundedTime checks that suspects start like other tasks after maxSuspectWait.
func TestSuspectsWaitForTheirOwnWorkerForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracked := newTracked(job.New(testJob, job.Spec{Steps: []job.Step{{Count: 3}}}, job.Queue{}, time.Now()))
		task := job.TaskID{Job: testJob, Index: 1}
		tracked.job.Place(task, job.Host{}, 0)
		tracked.job.RecordEnd(task, 1, job.EndLapsed, "")
		assert.Assert(t, tracked.job.RecordCrash(task, 1, crash.NewFinding(crash.LikelyCause, false)))
		others, suspects, score := tracked.splitSuspects(task, []int{0, 1, 2}, time.Now())
		assert.DeepEqual(t, others, []int{0, 2})
		assert.DeepEqual(t, suspects, []int{1})
		assert.Equal(t, score, 1)
		time.Sleep(maxSuspectWait)
		others, suspects, _ = tracked.splitSuspects(task, []int{0, 1, 2}, time.Now())
		assert.Equal(t, len(others), 3)
		assert.Equal(t, len(suspects), 0)
	})
}

// TestWorkersOfOtherServicesAreNotReservedForSuspects guards against a suspect that waits for the whole of maxSuspectWait:
// the worker of another service, which had no serving tasks, was reserved instead of one on which the suspect may start.
func TestWorkersOfOtherServicesAreNotReservedForSuspects(t *testing.T) {
	other := &plan.Worker{Schedulable: true, Service: "other"}
	workers := []*plan.Worker{other, {Schedulable: true, Service: testService, ServingCPU: 2}, {Schedulable: true, Service: testService, ServingCPU: 1}}
	reserveForSuspects(workers, []*plan.Group{{Service: testService, Indexes: []int{0}, SuspectScore: 1}})
	assert.Assert(t, !other.ReservedForSuspect && !workers[1].ReservedForSuspect)
	assert.Assert(t, workers[2].ReservedForSuspect)
}

// TestAtMostHalfOfTheWorkersAreReservedForSuspects also checks that the workers with the least serving CPU come first.
func TestAtMostHalfOfTheWorkersAreReservedForSuspects(t *testing.T) {
	workers := []*plan.Worker{{Schedulable: true, ServingCPU: 3}, {Schedulable: true, ServingCPU: 1}, {Schedulable: true, ServingCPU: 2}, {Schedulable: true}, {}}
	reserveForSuspects(workers, []*plan.Group{{Indexes: []int{0, 1, 2}}})
	for _, w := range workers {
		assert.Assert(t, !w.ReservedForSuspect, "there is no waiting suspect")
	}
	reserveForSuspects(workers, []*plan.Group{{Indexes: []int{0, 1, 2}, SuspectScore: 1}})
	assert.Assert(t, workers[1].ReservedForSuspect && workers[3].ReservedForSuspect)
	assert.Assert(t, !workers[0].ReservedForSuspect && !workers[2].ReservedForSuspect && !workers[4].ReservedForSuspect)
}
