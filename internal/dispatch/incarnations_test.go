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

// reportWithBirth returns a report of the incarnation of a worker with some birth.
func reportWithBirth(born int64) link.Report {
	r := testReport("i1")
	r.StartMillis = born
	return r
}

// withFirstRun adds the first run of the job's task as one that the worker withFirstRun at work.
func withFirstRun(r link.Report) link.Report {
	r.Running = append(r.Running, link.Running{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Percent: 1})
	return r
}

// withCrash adds the end of the incarnation of birth 1, under the first run of the job's task.
func withCrash(r link.Report, settled bool) link.Report {
	r.Crashes = append(r.Crashes, link.Crash{Number: 1, Instance: "i1", StartMillis: 1, Runs: []link.CrashedRun{
		{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Answered: true, Settled: settled, AgeMillis: 700},
	}})
	return r
}

// termWithBirth returns a leader with a task that is ordered to the incarnation of birth 1.
func termWithBirth(t *testing.T, store *kvtest.Store, a *fakeAgent) *term {
	t.Helper()
	lead := testTerm(t, store)
	reportAndRun(t, lead, a, reportWithBirth(1))
	return lead
}

// reportAndRun lets a leader take a report and work, and returns what it orders.
func reportAndRun(t *testing.T, lead *term, a *fakeAgent, r link.Report) (starts []link.Start, stops []link.Run) {
	t.Helper()
	a.pendingOrders = nil
	r.Epoch = lead.epoch
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, err := lead.report(fakeSession{a}, r)
		assert.Check(t, err)
	}()
	synctest.Wait()
	runCycle(t, lead)
	<-answered
	for _, orders := range a.pendingOrders {
		starts, stops = append(starts, orders.Starts...), append(stops, orders.Stops...)
	}
	return starts, stops
}

// testTask returns the job's task as a leader knows it.
func testTask(lead *term) *job.Task { return lead.jobs[testJob].job.Task(job.TaskID{Job: testJob}) }

// TestRunsOfEndedIncarnationArePlacedAgain: what the leader or the agent has seen at work there is placed anew at once.
func TestRunsOfEndedIncarnationArePlacedAgain(t *testing.T) {
	for name, next := range map[string]link.Report{
		"crash reported":                        withCrash(reportWithBirth(2), true),
		"crash reported before the next one":    withCrash(reportWithBirth(1), true),
		"no crash reported":                     reportWithBirth(2),
		"no crash reported, birth steps back":   reportWithBirth(-1),
		"no crash reported, and under a new id": testReport("i2"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				lead := termWithBirth(t, kvtest.New(), a)
				reportAndRun(t, lead, a, withFirstRun(reportWithBirth(1)))
				if next.StartMillis == 1 {
					next.Silent = true
				}
				reportAndRun(t, lead, a, next)
				if next.StartMillis == 1 {
					assert.Equal(t, testTask(lead).Phase(), job.Waiting)
					reportAndRun(t, lead, a, reportWithBirth(2))
				}
				assert.Equal(t, testTask(lead).Run(), 2)
				assert.Equal(t, testTask(lead).Host(), job.Host{VM: "vm", Incarnation: a.pendingOrders[0].Incarnation()})
			})
		})
	}
}

// TestLateStartIsStoppedBeforeTaskIsPlacedAgain: the next incarnation under the id would carry it out beside the run that replaces it.
func TestLateStartIsStoppedBeforeTaskIsPlacedAgain(t *testing.T) {
	for name, next := range map[string]link.Report{
		"crash reported":    withCrash(reportWithBirth(2), false),
		"no crash reported": reportWithBirth(2),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				lead := termWithBirth(t, kvtest.New(), a)
				starts, stops := reportAndRun(t, lead, a, next)
				first := link.NewRun(job.TaskID{Job: testJob}, 1)
				assert.Equal(t, len(starts), 0)
				assert.DeepEqual(t, stops, []link.Run{first})
				refused := reportWithBirth(2)
				refused.Rejected = []link.Rejected{{Run: first, Refusal: int(host.RefusedOld)}}
				starts, _ = reportAndRun(t, lead, a, refused)
				assert.Equal(t, len(starts), 1)
				assert.Equal(t, starts[0].Number, 2)
				assert.Equal(t, len(lead.jobs[testJob].failedHosts), 0, "the worker has refused nothing")
			})
		})
	}
}

// TestLateStartIsKeptUntilNextIncarnationReports, and lost where its lease lapses before or the next one has another id.
func TestLateStartIsKeptUntilNextIncarnationReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := termWithBirth(t, kvtest.New(), a)
		ended := withCrash(reportWithBirth(1), false)
		ended.Silent = true
		for range 3 {
			starts, _ := reportAndRun(t, lead, a, ended)
			assert.Equal(t, len(starts), 0)
			assert.Equal(t, testTask(lead).Phase(), job.Placed)
		}
		starts, _ := reportAndRun(t, lead, a, testReport("i2"))
		assert.Equal(t, len(starts), 1)
		losses := lead.jobs[testJob].job.Suspicion(job.TaskID{Job: testJob}).Losses()
		assert.Equal(t, losses.Total(), 1, "it counts once")
		assert.Equal(t, lead.dispatcher.config.Metrics.Counter("lead.untold_crashes").Count(), int64(0), "its crash was reported")
	})
}

// TestLateStartIsStoppedUnderReusedID: its task was placed anew, on a worker with another id meanwhile.
func TestLateStartIsStoppedUnderReusedID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := termWithBirth(t, kvtest.New(), a)
		reportAndRun(t, lead, a, testReport("i2"))
		assert.Equal(t, testTask(lead).Run(), 2)
		_, stops := reportAndRun(t, lead, a, reportWithBirth(3))
		assert.DeepEqual(t, stops[0], link.NewRun(job.TaskID{Job: testJob}, 1))
		time.Sleep(host.MaxCallDelay + time.Second)
		assert.NilError(t, lead.closures.Load(t.Context()))
		_, stops = reportAndRun(t, lead, a, reportWithBirth(4))
		assert.Assert(t, !slices.Contains(stops, link.NewRun(job.TaskID{Job: testJob}, 1)))
	})
}

// TestNextLeaderStopsUnseenStart, by the births that are stored with the hosts.
func TestNextLeaderStopsUnseenStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		lead := termWithBirth(t, store, a)
		reportAndRun(t, lead, a, withFirstRun(reportWithBirth(1)))
		store.Revoke()
		next, err := newTestEntry("f", store).tryAcquire(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, next.load(t.Context()))
		assert.Equal(t, testTask(next).Host(), job.Host{VM: "vm", Incarnation: incarnation.New("i1", 1)})
		starts, stops := reportAndRun(t, next, a, reportWithBirth(2))
		assert.Equal(t, len(starts), 0)
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, testTask(next).Host(), job.Host{VM: "vm", Incarnation: incarnation.New("i1", 2)})
	})
}

// TestMissingBirthKeepsRuns while a release is rolled out, in either order: the worker is the same.
func TestMissingBirthKeepsRuns(t *testing.T) {
	for name, births := range map[string][2]int64{"agent rolled out": {0, 1}, "agent rolled back": {1, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				lead := testTerm(t, kvtest.New())
				reportAndRun(t, lead, a, reportWithBirth(births[0]))
				reportAndRun(t, lead, a, withFirstRun(reportWithBirth(births[0])))
				starts, stops := reportAndRun(t, lead, a, withFirstRun(reportWithBirth(births[1])))
				assert.Equal(t, len(starts)+len(stops), 0)
				assert.Equal(t, testTask(lead).Run(), 1)
				assert.Equal(t, testTask(lead).Host(), job.Host{VM: "vm", Incarnation: incarnation.New("i1", births[1])})
				assert.Equal(t, lead.hosts.len(), 1)
			})
		})
	}
}

// TestEndsAreAcknowledgedPerIncarnation under the same id, whose numbers start anew.
func TestEndsAreAcknowledgedPerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := termWithBirth(t, kvtest.New(), a)
		first := reportWithBirth(1)
		first.Ended = []link.Ended{{Run: link.Run{Task: "00000000000000bb.0.0.0", Number: 1}, Sequence: 57}}
		answer, err := lead.report(fakeSession{a}, first)
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(57))
		answer, err = lead.report(fakeSession{a}, reportWithBirth(2))
		assert.NilError(t, err)
		assert.Equal(t, answer.AcknowledgedEnds, uint64(0))
		runCycle(t, lead)
	})
}

// TestTicketIsValidForOneIncarnation, by the users' rules.
func TestTicketIsValidForOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := termWithBirth(t, kvtest.New(), a)
		lead.dispatcher.config.Advisor = &fakeAdvisor{allowed: "i1"}
		step := stepID{job: testJob}
		lead.fetchAdvice(step, lead.openIncarnations(testService))
		present := job.Host{VM: "vm", Incarnation: incarnation.New("i1", 1)}
		assert.Equal(t, lead.ticket(present, job.TaskID{Job: testJob}), "ticket")
		present.Incarnation = incarnation.New("i1", 2)
		assert.Equal(t, lead.ticket(present, job.TaskID{Job: testJob}), "")
	})
}

// TestUnreachableIncarnationCountsAsCrashedWhenNextReports under the same id.
func TestUnreachableIncarnationCountsAsCrashedWhenNextReports(t *testing.T) {
	for born, lost := range map[int64]int{1: 0, 2: 1} {
		synctest.Test(t, func(t *testing.T) {
			a := &fakeAgent{vm: "vm"}
			lead := termWithBirth(t, kvtest.New(), a)
			reportAndRun(t, lead, a, withFirstRun(reportWithBirth(1)))
			time.Sleep(agentLease + 2*agentLeaseMargin)
			assert.NilError(t, lead.closures.Load(t.Context()))
			runCycle(t, lead)
			assert.Equal(t, len(lead.unreachable), 1)
			reportAndRun(t, lead, a, reportWithBirth(born))
			losses := lead.jobs[testJob].job.Suspicion(job.TaskID{Job: testJob}).Losses()
			assert.Equal(t, losses.Crashed(), lost)
		})
	}
}
