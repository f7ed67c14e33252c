package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// storeJob has the test job stored again, as its next change does.
func storeJob(t *testing.T, leader *term) {
	t.Helper()
	leader.mu.Lock()
	leader.markDirty(leader.jobs[testJob])
	leader.mu.Unlock()
	runCycle(t, leader)
}

// TestRunWithAnOutstandingStartStaysPlacedOnceLeasesHaveExpired guards against a second run beside the first: the next incarnation of a lost worker carries
// out a start of the run, whose task has been placed elsewhere since the leases had expired.
func TestRunWithAnOutstandingStartStaysPlacedOnceLeasesHaveExpired(t *testing.T) {
	expired := reportWithStartTime(1)
	expired.Unreachable, expired.LeaseExpired, expired.AgentAgeMillis = true, true, time.Hour.Milliseconds()
	unsettled, restarted := expired, expired
	unsettled.Unsettled = []link.Run{link.NewRun(job.TaskID{Job: testJob}, 1)}
	restarted.AgentAgeMillis = time.Second.Milliseconds()
	workerless := link.Report{VM: "vm", LeaseExpired: true, AgentAgeMillis: time.Second.Milliseconds()}
	knowing := workerless
	knowing.AgentAgeMillis = time.Hour.Milliseconds()
	withoutStartTime := unsettled
	withoutStartTime.StartMillis = 0
	for name, c := range map[string]struct {
		listed bool
		then   link.Report
		kept   bool
	}{
		"no start is outstanding":                         {then: expired},
		"a start is outstanding":                          {then: unsettled, kept: true},
		"a start is outstanding of a run that was listed": {listed: true, then: unsettled, kept: true},
		"agent restarted":                                 {then: restarted, kept: true},
		"agent restarted after the run was listed":        {listed: true, then: restarted},
		"agent restarted and knows no worker":             {then: workerless, kept: true},
		"agent has known of no worker for long":           {then: knowing},
		"worker reuses no id":                             {then: withoutStartTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				first := reportWithStartTime(c.then.StartMillis)
				if c.then.Instance == "" {
					first.StartMillis = 1
				}
				leader := testTerm(t, kvtest.New())
				reportAndRun(t, leader, a, first)
				if c.listed {
					reportAndRun(t, leader, a, withFirstRun(first))
				}
				time.Sleep(2 * time.Second)
				reportAndRun(t, leader, a, c.then)
				assert.Equal(t, testTask(leader).Phase() == job.Placed, c.kept)
			})
		})
	}
}

// TestRunWithAnOutstandingStartStaysPlacedWithoutItsAgent guards against a second run beside the first: a worker whose VM is cut off carries out a start of
// the run as a later incarnation, under this leader or the next.
func TestRunWithAnOutstandingStartStaysPlacedWithoutItsAgent(t *testing.T) {
	const maxLease, lastStart = 10 * time.Second * 100 / 98, host.MaxStartTimeout + host.MaxCallDelay
	for name, c := range map[string]struct {
		listed, newLeader bool
		wait              time.Duration
	}{
		"not listed":                   {wait: agentLease + agentLeaseMargin + lastStart + maxLease},
		"listed":                       {listed: true, wait: agentLease + agentLeaseMargin},
		"not listed, leader replaced":  {newLeader: true, wait: leaderTimeout + agentLeaseMargin + lastStart + maxLease},
		"listed, then leader replaced": {newLeader: true, listed: true, wait: leaderTimeout + agentLeaseMargin},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, a := kvtest.New(), &fakeAgent{vm: "vm"}
				leader := termWithStartTime(t, store, a)
				if c.listed {
					reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(1)))
					storeJob(t, leader)
				}
				if c.newLeader {
					leader = takeOverFrom(t, store, "f")
				}
				time.Sleep(c.wait - time.Millisecond)
				leader.schedule()
				assert.Equal(t, testTask(leader).Phase(), job.Placed)
				time.Sleep(2 * time.Millisecond)
				leader.schedule()
				assert.Equal(t, testTask(leader).Phase(), job.Waiting)
			})
		})
	}
}

// TestSettledRunsOfLongRunningTasksAreStoredAtOnce guards against a long-running task that does not run for half a minute after its VM was lost with the
// leader: the next leader would take its run for unsettled.
func TestSettledRunsOfLongRunningTasksAreStoredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := testTerm(t, store)
		leader.jobs[testJob].job.Spec().Steps[0].LongRunning = true
		reportAndRun(t, leader, a, reportWithStartTime(1))
		assert.Assert(t, !takeOverFrom(t, store, "f").hosts.all()[0].runs[job.TaskID{Job: testJob}].settled)
		leader = takeOverFrom(t, store, "g")
		leader.jobs[testJob].job.Spec().Steps[0].LongRunning = true
		reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(1)))
		assert.Assert(t, takeOverFrom(t, store, "h").hosts.all()[0].runs[job.TaskID{Job: testJob}].settled)
	})
}

// TestKeptRunIsGivenUpOnceItsWorkerAnswersWithoutIt guards against runs that were kept while their VM was cut off and counted as stalled when it returned, so
// that its worker was taken for faulty.
func TestKeptRunIsGivenUpOnceItsWorkerAnswersWithoutIt(t *testing.T) {
	run := link.NewRun(job.TaskID{Job: testJob}, 1)
	for name, c := range map[string]struct {
		report func(r *link.Report)
		phase  job.Phase
	}{
		"without it":         {report: func(*link.Report) {}, phase: job.Waiting},
		"with it":            {report: func(r *link.Report) { r.Running = []link.Running{{Run: run, Percent: 1}} }, phase: job.Placed},
		"with a start of it": {report: func(r *link.Report) { r.Unsettled, r.Pending = []link.Run{run}, []link.Run{run} }, phase: job.Placed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				leader := termWithStartTime(t, kvtest.New(), a)
				time.Sleep(agentLease + agentLeaseMargin + time.Second)
				leader.schedule()
				assert.Equal(t, testTask(leader).Phase(), job.Placed)
				report := reportWithStartTime(1)
				report.AgentAgeMillis, report.Draining = time.Hour.Milliseconds(), true
				c.report(&report)
				_, stops := reportAndRun(t, leader, a, report)
				assert.Equal(t, len(stops), 0, "it is not stalled")
				assert.Equal(t, testTask(leader).Phase(), c.phase)
			})
		})
	}
}
