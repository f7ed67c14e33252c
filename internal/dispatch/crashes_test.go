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
	r := reportOf("i2")
	r.Crashes = []link.Crash{{Number: number, Instance: "i1", Runs: []link.CrashedRun{
		{Run: link.NewRun(job.TaskID{Job: lateJob}, run), Answered: true},
	}}}
	return r
}

// TestCrashIsAcknowledgedOnceItIsCommitted, and told again it is not counted again, by this lead or the next.
func TestCrashIsAcknowledgedOnceItIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		lead := placedTerm(t, store, a)
		answer, err := lead.report(mailbox{a}, crashReport(7, 1))
		assert.NilError(t, err)
		assert.Equal(t, answer.Crashes, uint64(0), "nothing is committed yet")
		work(t, lead)
		answer, err = lead.report(mailbox{a}, crashReport(7, 1))
		assert.NilError(t, err)
		assert.Equal(t, answer.Crashes, uint64(7))
		task := job.TaskID{Job: lateJob}
		assert.Equal(t, lead.jobs[lateJob].job.Suspicion(task).Crashes(), 1)
		store.Revoke()
		next, err := entryOf("f", store).stand(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, next.load(t.Context()))
		again := crashReport(7, 1)
		again.Epoch = next.epoch
		_, err = next.report(mailbox{a}, again)
		assert.NilError(t, err)
		assert.Equal(t, next.jobs[lateJob].job.Suspicion(task).Crashes(), 1, "known from the store and not counted again")
		work(t, next)
	})
}

// TestSecondCrashAloneGivesTheJobUp failed with the job running and its task placed once more.
func TestSecondCrashAloneGivesTheJobUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := placedTerm(t, kvtest.New(), a)
		_, err := lead.report(mailbox{a}, crashReport(1, 1))
		assert.NilError(t, err)
		work(t, lead)
		assert.Equal(t, lead.jobs[lateJob].job.State(), job.Running)
		r := crashReport(2, 2)
		r.Instance = "i3"
		_, err = lead.report(mailbox{a}, r)
		assert.NilError(t, err)
		work(t, lead)
		assert.Equal(t, lead.jobs[lateJob].job.State(), job.Failed)
		assert.Equal(t, len(lead.hosts.get(job.Host{VM: "vm", Incarnation: incarnation.New("i3", 0)}).runs), 0)
	})
}

// TestCrashThatIsToldLateCountsForTheOthers failed with nobody held responsible: a task that lay in the worker had crashed another one
// since, and what was counted for that run was taken for the same crash.
func TestCrashThatIsToldLateCountsForTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lead := testTerm(t, kvtest.New())
		spec := job.Spec{Steps: []job.Step{{Count: 2}}}
		known := newTracked(job.New(lateJob, spec, job.Queue{Service: testService}, time.Now()))
		lead.jobs[lateJob] = known
		first, second := job.TaskID{Job: lateJob}, job.TaskID{Job: lateJob, Index: 1}
		for range 2 {
			known.job.Place(first, job.Host{}, 0)
			known.job.Ended(first, known.job.Task(first).Run(), job.EndLapsed, "")
		}
		known.job.Place(second, job.Host{}, 0)
		under := func(runs ...link.Run) link.Crash {
			c := link.Crash{Number: 1}
			for _, run := range runs {
				c.Runs = append(c.Runs, link.CrashedRun{Run: run, Answered: true})
			}
			return c
		}
		concerned := make(map[*tracked]bool)
		lead.takeCrashes(&agent{vm: "a"}, link.Report{Crashes: []link.Crash{under(link.NewRun(first, 2))}}, concerned)
		lead.takeCrashes(&agent{vm: "b"}, link.Report{Crashes: []link.Crash{under(link.NewRun(first, 1), link.NewRun(second, 1))}}, concerned)
		assert.Equal(t, known.job.Suspicion(first).Weight(), 1)
		assert.Equal(t, known.job.Suspicion(second).Weight(), 1)
	})
}

// TestWorkersThatCrashAtOneMomentHaveACauseInCommon: what had just begun there does not wait for a worker of its own.
func TestWorkersThatCrashAtOneMomentHaveACauseInCommon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for others, crashes := range map[int]int{leastOthers - 1: 1, leastOthers: 0} {
			a := &fakeAgent{vm: "vm"}
			lead := placedTerm(t, kvtest.New(), a)
			for n := range others + 1 {
				silent := reportOf("i1")
				silent.VM, silent.Silent, silent.BrokenMillis = fmt.Sprint(n), true, 1000
				if n == others {
					silent.BrokenMillis = 1000 + 2*sameMoment.Milliseconds()
				}
				_, err := lead.report(mailbox{&fakeAgent{vm: silent.VM}}, silent)
				assert.NilError(t, err)
			}
			r := crashReport(1, 1)
			r.Crashes[0].BrokenMillis = 1000
			_, err := lead.report(mailbox{a}, r)
			assert.NilError(t, err)
			held := lead.jobs[lateJob].job.Suspicion(job.TaskID{Job: lateJob})
			assert.Equal(t, held.Crashes(), crashes)
			assert.Equal(t, held.Doubts(), 1-crashes)
			work(t, lead)
		}
	})
}

// TestSuspectsWaitForAWorkerOfTheirOwnNotForLong: then they start as all others do.
func TestSuspectsWaitForAWorkerOfTheirOwnNotForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := newTracked(job.New(lateJob, job.Spec{Steps: []job.Step{{Count: 3}}}, job.Queue{}, time.Now()))
		task := job.TaskID{Job: lateJob, Index: 1}
		known.job.Place(task, job.Host{}, 0)
		known.job.Ended(task, 1, job.EndLapsed, "")
		assert.Assert(t, known.job.Crashed(task, 1, crash.NewFinding(crash.Likely, false)))
		others, suspects, weight := known.splitSuspects(task, []int{0, 1, 2}, time.Now())
		assert.DeepEqual(t, others, []int{0, 2})
		assert.DeepEqual(t, suspects, []int{1})
		assert.Equal(t, weight, 1)
		time.Sleep(suspectPatience)
		others, suspects, _ = known.splitSuspects(task, []int{0, 1, 2}, time.Now())
		assert.Equal(t, len(others), 3)
		assert.Equal(t, len(suspects), 0)
	})
}

// TestStrangersAreNotKeptForSuspects failed with the stranger kept, on which nothing serves, and none of the workers that the suspect may
// start on: it waited for a worker of its own until its patience was over.
func TestStrangersAreNotKeptForSuspects(t *testing.T) {
	stranger := &plan.Worker{Open: true, Service: "other"}
	workers := []*plan.Worker{stranger, {Open: true, Service: testService, Serving: 2}, {Open: true, Service: testService, Serving: 1}}
	keepForSuspects(workers, []*plan.Group{{Service: testService, Indexes: []int{0}, Suspect: 1}})
	assert.Assert(t, !stranger.Kept && !workers[1].Kept)
	assert.Assert(t, workers[2].Kept)
}

// TestHalfOfTheWorkersAreKeptForSuspectsAtMost, those first on which least serves.
func TestHalfOfTheWorkersAreKeptForSuspectsAtMost(t *testing.T) {
	workers := []*plan.Worker{{Open: true, Serving: 3}, {Open: true, Serving: 1}, {Open: true, Serving: 2}, {Open: true}, {}}
	keepForSuspects(workers, []*plan.Group{{Indexes: []int{0, 1, 2}}})
	for _, w := range workers {
		assert.Assert(t, !w.Kept, "no suspect waits")
	}
	keepForSuspects(workers, []*plan.Group{{Indexes: []int{0, 1, 2}, Suspect: 1}})
	assert.Assert(t, workers[1].Kept && workers[3].Kept)
	assert.Assert(t, !workers[0].Kept && !workers[2].Kept && !workers[4].Kept)
}
