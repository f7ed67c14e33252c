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

// crashReport reports a new life of a worker after one that crashed under the first run of the job's task.
func crashReport(number uint64, run int) link.Report {
	r := testReport("i2")
	r.Crashes = []link.Crash{{Number: number, Instance: "i1", Runs: []link.CrashedRun{
		{Run: link.NewRun(job.TaskID{Job: testJob}, run), Answered: true},
	}}}
	return r
}

// TestCrashIsAcknowledgedOnceItIsCommitted, and told again it is not counted again, by this lead or the next.
func TestCrashIsAcknowledgedOnceItIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		lead := termWithPlacedTask(t, store, a)
		answer, err := lead.report(fakeSession{a}, crashReport(7, 1))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedCrashes, uint64(0), "nothing is committed yet")
		runCycle(t, lead)
		answer, err = lead.report(fakeSession{a}, crashReport(7, 1))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedCrashes, uint64(7))
		task := job.TaskID{Job: testJob}
		assert.Equal(t, lead.jobs[testJob].job.Suspicion(task).LikelyCrashes(), 1)
		store.Revoke()
		next, err := newTestEntry("f", store).tryAcquire(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, next.load(t.Context()))
		again := crashReport(7, 1)
		again.Epoch = next.epoch
		_, err = next.report(fakeSession{a}, again)
		assert.NilError(t, err)
		assert.Equal(t, next.jobs[testJob].job.Suspicion(task).LikelyCrashes(), 1, "known from the store and not counted again")
		runCycle(t, next)
	})
}

// TestSecondCrashAloneFailsTheJob failed with the job running and its task placed once more.
func TestSecondCrashAloneFailsTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := termWithPlacedTask(t, kvtest.New(), a)
		_, err := lead.report(fakeSession{a}, crashReport(1, 1))
		assert.NilError(t, err)
		runCycle(t, lead)
		assert.Equal(t, lead.jobs[testJob].job.State(), job.Running)
		r := crashReport(2, 2)
		r.Instance = "i3"
		_, err = lead.report(fakeSession{a}, r)
		assert.NilError(t, err)
		runCycle(t, lead)
		assert.Equal(t, lead.jobs[testJob].job.State(), job.Failed)
		assert.Equal(t, len(lead.hosts.get(job.Host{VM: "vm", Incarnation: incarnation.New("i3", 0)}).runs), 0)
	})
}

// TestCrashReportedLateCountsForOtherSuspects failed with nobody held responsible: a task that lay in the worker had crashed another one
// since, and what was counted for that run was taken for the same crash.
func TestCrashReportedLateCountsForOtherSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lead := testTerm(t, kvtest.New())
		spec := job.Spec{Steps: []job.Step{{Count: 2}}}
		known := newTracked(job.New(testJob, spec, job.Queue{Service: testService}, time.Now()))
		lead.jobs[testJob] = known
		first, second := job.TaskID{Job: testJob}, job.TaskID{Job: testJob, Index: 1}
		for range 2 {
			known.job.Place(first, job.Host{}, 0)
			known.job.RecordEnd(first, known.job.Task(first).Run(), job.EndLapsed, "")
		}
		known.job.Place(second, job.Host{}, 0)
		under := func(runs ...link.Run) link.Crash {
			c := link.Crash{Number: 1}
			for _, run := range runs {
				c.Runs = append(c.Runs, link.CrashedRun{Run: run, Answered: true})
			}
			return c
		}
		concerned := make(map[*trackedJob]bool)
		lead.recordCrashes(&agent{vm: "a"}, link.Report{Crashes: []link.Crash{under(link.NewRun(first, 2))}}, concerned)
		lead.recordCrashes(&agent{vm: "b"}, link.Report{Crashes: []link.Crash{under(link.NewRun(first, 1), link.NewRun(second, 1))}}, concerned)
		assert.Equal(t, known.job.Suspicion(first).Score(), 1)
		assert.Equal(t, known.job.Suspicion(second).Score(), 1)
	})
}

// TestSimultaneousCrashesHaveACommonCause: what had just begun there does not wait for a worker of its own.
func TestSimultaneousCrashesHaveACommonCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for others, crashes := range map[int]int{minSimultaneous - 1: 1, minSimultaneous: 0} {
			a := &fakeAgent{vm: "vm"}
			lead := termWithPlacedTask(t, kvtest.New(), a)
			for n := range others + 1 {
				silent := testReport("i1")
				silent.VM, silent.Silent, silent.FirstFailureMillis = fmt.Sprint(n), true, 1000
				if n == others {
					silent.FirstFailureMillis = 1000 + 2*simultaneousWindow.Milliseconds()
				}
				_, err := lead.report(fakeSession{&fakeAgent{vm: silent.VM}}, silent)
				assert.NilError(t, err)
			}
			r := crashReport(1, 1)
			r.Crashes[0].FirstFailureMillis = 1000
			_, err := lead.report(fakeSession{a}, r)
			assert.NilError(t, err)
			held := lead.jobs[testJob].job.Suspicion(job.TaskID{Job: testJob})
			assert.Equal(t, held.LikelyCrashes(), crashes)
			assert.Equal(t, held.PossibleCrashes(), 1-crashes)
			runCycle(t, lead)
		}
	})
}

// TestSuspectsWaitForTheirOwnWorkerForABoundedTime: then they start as all others do.
func TestSuspectsWaitForTheirOwnWorkerForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := newTracked(job.New(testJob, job.Spec{Steps: []job.Step{{Count: 3}}}, job.Queue{}, time.Now()))
		task := job.TaskID{Job: testJob, Index: 1}
		known.job.Place(task, job.Host{}, 0)
		known.job.RecordEnd(task, 1, job.EndLapsed, "")
		assert.Assert(t, known.job.RecordCrash(task, 1, crash.NewFinding(crash.LikelyCause, false)))
		others, suspects, weight := known.splitSuspects(task, []int{0, 1, 2}, time.Now())
		assert.DeepEqual(t, others, []int{0, 2})
		assert.DeepEqual(t, suspects, []int{1})
		assert.Equal(t, weight, 1)
		time.Sleep(maxSuspectWait)
		others, suspects, _ = known.splitSuspects(task, []int{0, 1, 2}, time.Now())
		assert.Equal(t, len(others), 3)
		assert.Equal(t, len(suspects), 0)
	})
}

// TestWorkersOfOtherServicesAreNotReservedForSuspects failed with the stranger kept, on which nothing serves, and none of the workers that the suspect may
// start on: it waited for a worker of its own until its patience was over.
func TestWorkersOfOtherServicesAreNotReservedForSuspects(t *testing.T) {
	stranger := &plan.Worker{Schedulable: true, Service: "other"}
	workers := []*plan.Worker{stranger, {Schedulable: true, Service: testService, ServingCPU: 2}, {Schedulable: true, Service: testService, ServingCPU: 1}}
	reserveForSuspects(workers, []*plan.Group{{Service: testService, Indexes: []int{0}, SuspectScore: 1}})
	assert.Assert(t, !stranger.ReservedForSuspect && !workers[1].ReservedForSuspect)
	assert.Assert(t, workers[2].ReservedForSuspect)
}

// TestAtMostHalfOfTheWorkersAreReservedForSuspects, those first on which least serves.
func TestAtMostHalfOfTheWorkersAreReservedForSuspects(t *testing.T) {
	workers := []*plan.Worker{{Schedulable: true, ServingCPU: 3}, {Schedulable: true, ServingCPU: 1}, {Schedulable: true, ServingCPU: 2}, {Schedulable: true}, {}}
	reserveForSuspects(workers, []*plan.Group{{Indexes: []int{0, 1, 2}}})
	for _, w := range workers {
		assert.Assert(t, !w.ReservedForSuspect, "no suspect waits")
	}
	reserveForSuspects(workers, []*plan.Group{{Indexes: []int{0, 1, 2}, SuspectScore: 1}})
	assert.Assert(t, workers[1].ReservedForSuspect && workers[3].ReservedForSuspect)
	assert.Assert(t, !workers[0].ReservedForSuspect && !workers[2].ReservedForSuspect && !workers[4].ReservedForSuspect)
}
