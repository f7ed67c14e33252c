package dispatch

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// reportWithStartTime returns a report of the incarnation of a worker with a start time.
func reportWithStartTime(startMillis int64) link.Report {
	r := testReport("i1")
	r.StartMillis = startMillis
	return r
}

// withFirstRun adds the first run of the job's task to a report as running.
func withFirstRun(r link.Report) link.Report {
	r.Running = append(r.Running, link.Running{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Percent: 1})
	return r
}

// withCrash adds the crash of the incarnation with start time 1 to a report, with the first run of the job's task.
func withCrash(r link.Report, settled bool) link.Report {
	r.Crashes = append(r.Crashes, link.Crash{Number: 1, Instance: "i1", StartMillis: 1, Runs: []link.CrashedRun{
		{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Answered: true, Settled: settled, AgeMillis: 700},
	}})
	return r
}

// termWithStartTime returns a leader with a task that is ordered to the incarnation with start time 1.
func termWithStartTime(t *testing.T, store *kvtest.Store, a *fakeAgent) *term {
	t.Helper()
	leader := testTerm(t, store)
	reportAndRun(t, leader, a, reportWithStartTime(1))
	return leader
}

// reportAndRun sends a report to a leader, runs one cycle, and returns the orders.
func reportAndRun(t *testing.T, leader *term, a *fakeAgent, r link.Report) (starts []link.Start, stops []link.Run) {
	t.Helper()
	a.pendingOrders = nil
	r.Epoch = leader.epoch
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, err := leader.report(fakeSession{a}, r)
		assert.Check(t, err)
	}()
	synctest.Wait()
	runCycle(t, leader)
	<-answered
	for _, orders := range a.pendingOrders {
		starts, stops = append(starts, orders.Starts...), append(stops, orders.Stops...)
	}
	return starts, stops
}

// testTask returns the job's task in the state of a leader.
func testTask(leader *term) *job.Task { return leader.jobs[testJob].job.Task(job.TaskID{Job: testJob}) }

// TestRunsOfEndedIncarnationArePlacedAgain checks that runs that were reported as running on an ended incarnation are placed again at once.
func TestRunsOfEndedIncarnationArePlacedAgain(t *testing.T) {
	for name, next := range map[string]link.Report{
		"crash reported":                        withCrash(reportWithStartTime(2), true),
		"crash reported before the next one":    withCrash(reportWithStartTime(1), true),
		"no crash reported":                     reportWithStartTime(2),
		"no crash reported, earlier start time": reportWithStartTime(-1),
		"no crash reported, and under a new id": testReport("i2"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				leader := termWithStartTime(t, kvtest.New(), a)
				reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(1)))
				if next.StartMillis == 1 {
					next.Unreachable = true
				}
				reportAndRun(t, leader, a, next)
				if next.StartMillis == 1 {
					assert.Equal(t, testTask(leader).Phase(), job.Waiting)
					reportAndRun(t, leader, a, reportWithStartTime(2))
				}
				assert.Equal(t, testTask(leader).Run(), 2)
				assert.Equal(t, testTask(leader).Host(), job.Host{VM: "vm", Incarnation: a.pendingOrders[0].Incarnation()})
			})
		})
	}
}

// TestLateStartIsStoppedBeforeTaskIsPlacedAgain guards against a late start that the next incarnation under the same id carries out beside the
// run that replaces it.
func TestLateStartIsStoppedBeforeTaskIsPlacedAgain(t *testing.T) {
	for name, next := range map[string]link.Report{
		"crash reported":    withCrash(reportWithStartTime(2), false),
		"no crash reported": reportWithStartTime(2),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				leader := termWithStartTime(t, kvtest.New(), a)
				starts, stops := reportAndRun(t, leader, a, next)
				first := link.NewRun(job.TaskID{Job: testJob}, 1)
				assert.Equal(t, len(starts), 0)
				assert.DeepEqual(t, stops, []link.Run{first})
				refused := reportWithStartTime(2)
				refused.Rejected = []link.Rejected{{Run: first, Refusal: int(host.RefusedOld)}}
				starts, _ = reportAndRun(t, leader, a, refused)
				assert.Equal(t, len(starts), 1)
				assert.Equal(t, starts[0].Number, 2)
				assert.Equal(t, len(leader.jobs[testJob].failedHosts), 0, "the worker did not reject a start of this incarnation")
			})
		})
	}
}

// TestLateStartIsKeptUntilNextIncarnationReports checks that a late start stays placed until the next incarnation reports, and is lost if that
// one has another id.
func TestLateStartIsKeptUntilNextIncarnationReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		leader := termWithStartTime(t, kvtest.New(), a)
		ended := withCrash(reportWithStartTime(1), false)
		ended.Unreachable = true
		for range 3 {
			starts, _ := reportAndRun(t, leader, a, ended)
			assert.Equal(t, len(starts), 0)
			assert.Equal(t, testTask(leader).Phase(), job.Placed)
		}
		starts, _ := reportAndRun(t, leader, a, testReport("i2"))
		assert.Equal(t, len(starts), 1)
		losses := leader.jobs[testJob].job.CrashHistory(job.TaskID{Job: testJob}).Losses()
		assert.Equal(t, losses.Total(), 1, "the loss counts once")
		assert.Equal(t, leader.dispatcher.config.Metrics.Counter("lead.untold_crashes").Count(), int64(0), "the crash was reported")
	})
}

// TestLateStartIsStoppedUnderReusedID checks that a late start is stopped when a worker reports under its id again within host.MaxCallDelay,
// though the task was placed again on a worker with another id in the meantime.
func TestLateStartIsStoppedUnderReusedID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		leader := termWithStartTime(t, kvtest.New(), a)
		reportAndRun(t, leader, a, testReport("i2"))
		assert.Equal(t, testTask(leader).Run(), 2)
		_, stops := reportAndRun(t, leader, a, reportWithStartTime(3))
		assert.DeepEqual(t, stops[0], link.NewRun(job.TaskID{Job: testJob}, 1))
		time.Sleep(host.MaxCallDelay + time.Second)
		assert.NilError(t, leader.closures.Load(t.Context()))
		_, stops = reportAndRun(t, leader, a, reportWithStartTime(4))
		assert.Assert(t, !slices.Contains(stops, link.NewRun(job.TaskID{Job: testJob}, 1)))
	})
}

// TestNextLeaderStopsUnreportedStart checks that the next leader stops a start of the previous incarnation, which it recognizes by the start time
// stored with the host, since that worker never reported the run to this leader.
func TestNextLeaderStopsUnreportedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := termWithStartTime(t, store, a)
		reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(1)))
		store.RemoveLeasedKeys()
		next, err := newTestEntry("f", store).tryAcquire(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, next.load(t.Context()))
		assert.Equal(t, testTask(next).Host(), job.Host{VM: "vm", Incarnation: incarnation.New("i1", 1)})
		starts, stops := reportAndRun(t, next, a, reportWithStartTime(2))
		assert.Equal(t, len(starts), 0)
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, testTask(next).Host(), job.Host{VM: "vm", Incarnation: incarnation.New("i1", 2)})
	})
}

// TestMissingStartTimeKeepsRuns checks that runs stay placed when start times begin or cease to be reported during a rollout: the incarnation is
// the same.
func TestMissingStartTimeKeepsRuns(t *testing.T) {
	for name, startTimes := range map[string][2]int64{"agent rolled out": {0, 1}, "agent rolled back": {1, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				leader := testTerm(t, kvtest.New())
				reportAndRun(t, leader, a, reportWithStartTime(startTimes[0]))
				reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(startTimes[0])))
				starts, stops := reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(startTimes[1])))
				assert.Equal(t, len(starts)+len(stops), 0)
				assert.Equal(t, testTask(leader).Run(), 1)
				assert.Equal(t, testTask(leader).Host(), job.Host{VM: "vm", Incarnation: incarnation.New("i1", startTimes[1])})
				assert.Equal(t, leader.hosts.len(), 1)
			})
		})
	}
}

// TestEndsAreAcknowledgedPerIncarnation guards against acknowledging the ends of the next incarnation under the same id, which numbers them
// from 1 again.
func TestEndsAreAcknowledgedPerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		leader := termWithStartTime(t, kvtest.New(), a)
		first := reportWithStartTime(1)
		first.Ended = []link.Ended{{Run: link.Run{Task: "00000000000000bb.0.0.0", Number: 1}, Sequence: 57}}
		answer, err := leader.report(fakeSession{a}, first)
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(57))
		answer, err = leader.report(fakeSession{a}, reportWithStartTime(2))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(0))
		runCycle(t, leader)
	})
}

// TestTicketIsValidForOneIncarnation checks that a ticket is not sent to another incarnation, as the users' rules require.
func TestTicketIsValidForOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		leader := termWithStartTime(t, kvtest.New(), a)
		leader.dispatcher.config.Advisor = &fakeAdvisor{allowed: "i1"}
		step := stepID{job: testJob}
		leader.ticketsFor(step, testService)
		time.Sleep(10 * time.Millisecond)
		host := job.Host{VM: "vm", Incarnation: incarnation.New("i1", 1)}
		assert.Equal(t, leader.ticket(host, job.TaskID{Job: testJob}), "ticket")
		host.Incarnation = incarnation.New("i1", 2)
		assert.Equal(t, leader.ticket(host, job.TaskID{Job: testJob}), "")
	})
}

// TestUnreachableIncarnationCountsAsCrashedWhenNextReports checks that an unreachable incarnation counts as crashed once the next one under the
// same id reports, and not if it reports itself.
func TestUnreachableIncarnationCountsAsCrashedWhenNextReports(t *testing.T) {
	for startMillis, lost := range map[int64]int{1: 0, 2: 1} {
		synctest.Test(t, func(t *testing.T) {
			a := &fakeAgent{vm: "vm"}
			leader := termWithStartTime(t, kvtest.New(), a)
			reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(1)))
			time.Sleep(agentLease + 2*agentLeaseMargin)
			assert.NilError(t, leader.closures.Load(t.Context()))
			runCycle(t, leader)
			assert.Equal(t, len(leader.unreachable), 1)
			reportAndRun(t, leader, a, reportWithStartTime(startMillis))
			losses := leader.jobs[testJob].job.CrashHistory(job.TaskID{Job: testJob}).Losses()
			assert.Equal(t, losses.Crashed(), lost)
		})
	}
}

// TestRunOnBothIncarnationsIsStoppedBeforeItIsPlacedAgain guards against a second run beside the first: one attempt of a start was carried out by an
// incarnation that has listed the run, another one by the next incarnation, and the run counted as lost with the first.
func TestRunOnBothIncarnationsIsStoppedBeforeItIsPlacedAgain(t *testing.T) {
	run := link.NewRun(job.TaskID{Job: testJob}, 1)
	crashed := withFirstRun(reportWithStartTime(1))
	crashed.Running, crashed.Unreachable = nil, true
	crashed.Crashes = []link.Crash{{Number: 1, Instance: "i1", StartMillis: 1, Next: []link.Run{run}}}
	next := withFirstRun(reportWithStartTime(2))
	both := next
	both.Crashes = crashed.Crashes
	for name, reports := range map[string][]link.Report{
		"next incarnation reported, no crash": {next}, "crash and next incarnation reported": {both}, "crash reported first": {crashed, next},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				leader := termWithStartTime(t, kvtest.New(), a)
				reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(1)))
				var stopped []link.Run
				for _, r := range reports {
					starts, stops := reportAndRun(t, leader, a, r)
					assert.Equal(t, len(starts), 0)
					stopped = append(stopped, stops...)
				}
				assert.DeepEqual(t, stopped, []link.Run{run})
				assert.Equal(t, testTask(leader).Phase(), job.Placed)
				ended := reportWithStartTime(2)
				ended.Ended = []link.Ended{{Run: run, Sequence: 1, End: int(job.EndStopped)}}
				starts, _ := reportAndRun(t, leader, a, ended)
				assert.Equal(t, len(starts), 1)
				assert.Equal(t, starts[0].Number, 2)
			})
		})
	}
}
