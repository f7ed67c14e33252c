package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// lossesAfter returns how many runs of a task count as lost in total, and how many of them by a crash of their worker, after
// its agent did not report for a time and then reported again.
func lossesAfter(t *testing.T, before link.Report, silence time.Duration, after link.Report) (total, crashed int) {
	t.Helper()
	a := &fakeAgent{vm: "vm"}
	leader := termWithPlacedTask(t, kvtest.New(), a)
	_, err := leader.report(fakeSession{a}, before)
	assert.NilError(t, err)
	time.Sleep(silence)
	assert.NilError(t, leader.closures.Load(t.Context()))
	runCycle(t, leader)
	_, err = leader.report(fakeSession{a}, after)
	assert.NilError(t, err)
	losses := leader.jobs[testJob].job.CrashHistory(job.TaskID{Job: testJob}).Losses()
	runCycle(t, leader)
	return losses.Total(), losses.Crashed()
}

// TestRunsThatCountAsLost checks that a run counts as lost if its worker had it, or may have had it, when the worker crashed
// or became unreachable.
func TestRunsThatCountAsLost(t *testing.T) {
	const unreachable = agentLease + 2*agentLeaseMargin
	draining := runningReport()
	draining.Draining = true
	otherRun := crashReport(1, 9)
	listed := testReport("i1")
	listed.Ended = []link.Ended{{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Sequence: 1, End: int(job.EndLapsed)}}
	planned := testReport("i2")
	planned.Crashes = []link.Crash{{Number: 1, Instance: "i1", Planned: true}}
	stillUnreachable := testReport("i1")
	stillUnreachable.Unreachable = true
	for name, c := range map[string]struct {
		before         link.Report
		silence        time.Duration
		after          link.Report
		total, crashed int
	}{
		"crash reported":                        {runningReport(), 0, crashReport(1, 1), 1, 1},
		"crash unreported":                      {runningReport(), 0, testReport("i2"), 1, 1},
		"incarnation never had the run":         {runningReport(), 0, otherRun, 0, 0},
		"planned end after draining":            {draining, 0, testReport("i2"), 0, 0},
		"planned end without draining":          {runningReport(), 0, planned, 0, 0},
		"unreachable, planned end":              {runningReport(), unreachable, planned, 0, 0},
		"unreachable, same incarnation reports": {runningReport(), unreachable, listed, 0, 0},
		"unreachable, still unreachable":        {runningReport(), unreachable, stillUnreachable, 1, 0},
		"unreachable, crash reported":           {runningReport(), unreachable, crashReport(1, 1), 1, 1},
		"unreachable, crash unreported":         {runningReport(), unreachable, testReport("i2"), 1, 1},
		"unreachable, crashed without the run":  {runningReport(), unreachable, otherRun, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				total, crashed := lossesAfter(t, c.before, c.silence, c.after)
				assert.Equal(t, total, c.total)
				assert.Equal(t, crashed, c.crashed)
			})
		})
	}
}

// TestRunThatACrashedIncarnationNeverHadIsNotLost guards against a job that is given up after three crashes of workers, since two starts that no
// incarnation had received counted as lost with crashed workers.
//
// The agent reports the crash without the run and, before the next incarnation reports, that nothing of the ended one runs any more. The second
// report counted the run as lost with an unreachable worker, and the report of the next incarnation turned that into a crash.
func TestRunThatACrashedIncarnationNeverHadIsNotLost(t *testing.T) {
	ended := testReport("i1")
	ended.Unreachable = true
	expired := ended
	expired.LeaseExpired = true
	withoutRun, planned := []link.Crash{{Number: 1, Instance: "i1"}}, []link.Crash{{Number: 1, Instance: "i1", Planned: true}}
	withCrashes := func(r link.Report, crashes []link.Crash) link.Report {
		r.Crashes = crashes
		return r
	}
	withRun := crashReport(1, 1).Crashes
	for name, c := range map[string]struct {
		reports        []link.Report
		total, crashed int
	}{
		"at once":            {[]link.Report{withCrashes(expired, withoutRun), testReport("i2")}, 0, 0},
		"one after another":  {[]link.Report{withCrashes(ended, withoutRun), expired, testReport("i2")}, 0, 0},
		"planned":            {[]link.Report{withCrashes(expired, planned), testReport("i2")}, 0, 0},
		"with the run":       {[]link.Report{withCrashes(expired, withRun), testReport("i2")}, 1, 1},
		"without a crash":    {[]link.Report{expired, testReport("i2")}, 1, 1},
		"crash of other run": {[]link.Report{withCrashes(expired, crashReport(1, 9).Crashes), testReport("i2")}, 0, 0},
		"started after all":  {[]link.Report{withCrashes(ended, withoutRun), testReport("i1"), expired, testReport("i2")}, 1, 1},
		"listed after all":   {[]link.Report{withCrashes(ended, withoutRun), runningReport(), expired, testReport("i2")}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				leader := termWithPlacedTask(t, kvtest.New(), a)
				for _, r := range c.reports {
					time.Sleep(resendAfter + time.Millisecond)
					assert.NilError(t, leader.closures.Load(t.Context()))
					_, err := leader.report(fakeSession{a}, r)
					assert.NilError(t, err)
					runCycle(t, leader)
				}
				losses := leader.jobs[testJob].job.CrashHistory(job.TaskID{Job: testJob}).Losses()
				assert.Equal(t, losses.Total(), c.total)
				assert.Equal(t, losses.Crashed(), c.crashed)
				assert.Equal(t, testTask(leader).Run(), 2, "the task is placed again")
			})
		})
	}
}

// TestUnreachableIncarnationsExpire checks that no record is kept forever of VMs that never come back.
func TestUnreachableIncarnationsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, kvtest.New(), a)
		time.Sleep(agentLease + 2*agentLeaseMargin)
		runCycle(t, leader)
		assert.Equal(t, len(leader.unreachable), 1)
		time.Sleep(endedJobRetention + time.Second)
		runCycle(t, leader)
		assert.Equal(t, len(leader.unreachable), 0)
	})
}

// TestCrashReportedBeforeTheNextIncarnationIsRecorded guards against a crash report that is acknowledged and ignored since
// it comes with a report of the ended incarnation. Each run then counted as a loss of unknown lifetime, also runs that had
// never reached the worker.
func TestCrashReportedBeforeTheNextIncarnationIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, kvtest.New(), a)
		crashed := crashReport(1, 1)
		crashed.Instance, crashed.Unreachable, crashed.LeaseExpired = "i1", true, true
		crashed.Crashes[0].Runs[0].AgeMillis = 700
		for _, r := range []link.Report{runningReport(), crashed, testReport("i2")} {
			_, err := leader.report(fakeSession{a}, r)
			assert.NilError(t, err)
			losses := leader.jobs[testJob].job.CrashHistory(job.TaskID{Job: testJob}).Losses()
			assert.Equal(t, losses.UnknownLifetime(), 0)
			if r.Instance == "i2" {
				assert.Equal(t, losses.Similar(), 1)
				assert.Equal(t, losses.LongestLifetime(), 700*time.Millisecond)
			}
			runCycle(t, leader)
		}
	})
}
