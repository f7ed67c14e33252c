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

// lossesAfter returns how many runs of a task count as lost, and with how many of them a worker surely crashed, after its agent was
// away for a time and has then reported.
func lossesAfter(t *testing.T, before link.Report, away time.Duration, after link.Report) (all, over int) {
	t.Helper()
	a := &fakeAgent{vm: "vm"}
	lead := termWithPlacedTask(t, kvtest.New(), a)
	_, err := lead.report(fakeSession{a}, before)
	assert.NilError(t, err)
	time.Sleep(away)
	assert.NilError(t, lead.closures.Load(t.Context()))
	runCycle(t, lead)
	_, err = lead.report(fakeSession{a}, after)
	assert.NilError(t, err)
	losses := lead.jobs[testJob].job.Suspicion(job.TaskID{Job: testJob}).Losses()
	runCycle(t, lead)
	return losses.Total(), losses.Crashed()
}

// TestRunsThatCountAsLost with a worker: a run that it had, or may have had, when it crashed or was lost sight of.
func TestRunsThatCountAsLost(t *testing.T) {
	const outOfSight = agentLease + 2*agentLeaseMargin
	draining := runningReport()
	draining.Draining = true
	otherRun := crashReport(1, 9)
	listed := testReport("i1")
	listed.Ended = []link.Ended{{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Sequence: 1, End: int(job.EndLapsed)}}
	planned := testReport("i2")
	planned.Crashes = []link.Crash{{Number: 1, Instance: "i1", Planned: true}}
	silent := testReport("i1")
	silent.Silent = true
	for name, c := range map[string]struct {
		before    link.Report
		away      time.Duration
		after     link.Report
		all, over int
	}{
		"its crash is told":                      {runningReport(), 0, crashReport(1, 1), 1, 1},
		"its crash is not told":                  {runningReport(), 0, testReport("i2"), 1, 1},
		"its life never had the run":             {runningReport(), 0, otherRun, 0, 0},
		"it left by plan":                        {draining, 0, testReport("i2"), 0, 0},
		"it left by plan, of which nobody told":  {runningReport(), 0, planned, 0, 0},
		"out of sight, and left by plan":         {runningReport(), outOfSight, planned, 0, 0},
		"out of sight, and still there":          {runningReport(), outOfSight, listed, 0, 0},
		"out of sight, and still silent":         {runningReport(), outOfSight, silent, 1, 0},
		"out of sight, and crashed":              {runningReport(), outOfSight, crashReport(1, 1), 1, 1},
		"out of sight, and crashed without word": {runningReport(), outOfSight, testReport("i2"), 1, 1},
		"out of sight, crashed without the run":  {runningReport(), outOfSight, otherRun, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all, over := lossesAfter(t, c.before, c.away, c.after)
				assert.Equal(t, all, c.all)
				assert.Equal(t, over, c.over)
			})
		})
	}
}

// TestUnreachableIncarnationsExpire, so that VMs that never come back leave nothing behind.
func TestUnreachableIncarnationsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := termWithPlacedTask(t, kvtest.New(), a)
		time.Sleep(agentLease + 2*agentLeaseMargin)
		runCycle(t, lead)
		assert.Equal(t, len(lead.unreachable), 1)
		time.Sleep(endedJobRetention + time.Second)
		runCycle(t, lead)
		assert.Equal(t, len(lead.unreachable), 0)
	})
}

// TestCrashReportedBeforeTheNextIncarnationIsRecorded failed with each run of the life counted as one of which nothing is known,
// also those that never reached the worker: the word came, and was acknowledged, with a report of the old life.
func TestCrashReportedBeforeTheNextIncarnationIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := termWithPlacedTask(t, kvtest.New(), a)
		told := crashReport(1, 1)
		told.Instance, told.Silent, told.Lapsed = "i1", true, true
		told.Crashes[0].Runs[0].AgeMillis = 700
		for _, r := range []link.Report{runningReport(), told, testReport("i2")} {
			_, err := lead.report(fakeSession{a}, r)
			assert.NilError(t, err)
			losses := lead.jobs[testJob].job.Suspicion(job.TaskID{Job: testJob}).Losses()
			assert.Equal(t, losses.UnknownLifetime(), 0)
			if r.Instance == "i2" {
				assert.Equal(t, losses.Similar(), 1)
				assert.Equal(t, losses.LongestLifetime(), 700*time.Millisecond)
			}
			runCycle(t, lead)
		}
	})
}
