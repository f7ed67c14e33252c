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

// bornReport returns a report of the incarnation of a worker with some birth.
func bornReport(born int64) link.Report {
	r := reportOf("i1")
	r.Born = born
	return r
}

// shows adds the first run of the job's task as one that the worker shows at work.
func shows(r link.Report) link.Report {
	r.Running = append(r.Running, link.Running{Run: link.NewRun(job.TaskID{Job: lateJob}, 1), Percent: 1})
	return r
}

// crashed adds the end of the incarnation of birth 1, under the first run of the job's task.
func crashed(r link.Report, settled bool) link.Report {
	r.Crashes = append(r.Crashes, link.Crash{Number: 1, Instance: "i1", Born: 1, Runs: []link.CrashedRun{
		{Run: link.NewRun(job.TaskID{Job: lateJob}, 1), Answered: true, Settled: settled, AgeMillis: 700},
	}})
	return r
}

// bornTerm returns a leader with a task that is ordered to the incarnation of birth 1.
func bornTerm(t *testing.T, store *kvtest.Store, a *fakeAgent) *term {
	t.Helper()
	lead := testTerm(t, store)
	receive(t, lead, a, bornReport(1))
	return lead
}

// receive lets a leader take a report and work, and returns what it orders.
func receive(t *testing.T, lead *term, a *fakeAgent, r link.Report) (starts []link.Start, stops []link.Run) {
	t.Helper()
	a.mail = nil
	r.Epoch = lead.epoch
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, err := lead.report(mailbox{a}, r)
		assert.Check(t, err)
	}()
	synctest.Wait()
	work(t, lead)
	<-answered
	for _, orders := range a.mail {
		starts, stops = append(starts, orders.Starts...), append(stops, orders.Stops...)
	}
	return starts, stops
}

// taskOf returns the job's task as a leader knows it.
func taskOf(lead *term) *job.Task { return lead.jobs[lateJob].job.Task(job.TaskID{Job: lateJob}) }

// TestRunsOfAnIncarnationAreLostWithIt: what the leader or the agent has seen at work there is placed anew at once.
func TestRunsOfAnIncarnationAreLostWithIt(t *testing.T) {
	for name, next := range map[string]link.Report{
		"crash reported":                        crashed(bornReport(2), true),
		"crash reported before the next one":    crashed(bornReport(1), true),
		"no crash reported":                     bornReport(2),
		"no crash reported, birth steps back":   bornReport(-1),
		"no crash reported, and under a new id": reportOf("i2"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				lead := bornTerm(t, kvtest.New(), a)
				receive(t, lead, a, shows(bornReport(1)))
				if next.Born == 1 {
					next.Silent = true
				}
				receive(t, lead, a, next)
				if next.Born == 1 {
					assert.Equal(t, taskOf(lead).Phase(), job.Waiting)
					receive(t, lead, a, bornReport(2))
				}
				assert.Equal(t, taskOf(lead).Run(), 2)
				assert.Equal(t, taskOf(lead).Host(), job.Host{VM: "vm", Incarnation: a.mail[0].Incarnation()})
			})
		})
	}
}

// TestStartThatMayBeCarriedOutLateIsStoppedFirst: the next incarnation under the id would carry it out beside the run that replaces it.
func TestStartThatMayBeCarriedOutLateIsStoppedFirst(t *testing.T) {
	for name, next := range map[string]link.Report{
		"crash reported":    crashed(bornReport(2), false),
		"no crash reported": bornReport(2),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				lead := bornTerm(t, kvtest.New(), a)
				starts, stops := receive(t, lead, a, next)
				first := link.NewRun(job.TaskID{Job: lateJob}, 1)
				assert.Equal(t, len(starts), 0)
				assert.DeepEqual(t, stops, []link.Run{first})
				refused := bornReport(2)
				refused.Rejected = []link.Rejected{{Run: first, Refusal: int(host.RefusedOld)}}
				starts, _ = receive(t, lead, a, refused)
				assert.Equal(t, len(starts), 1)
				assert.Equal(t, starts[0].Number, 2)
				assert.Equal(t, len(lead.jobs[lateJob].failed), 0, "the worker has refused nothing")
			})
		})
	}
}

// TestStartIsKeptUntilTheNextIncarnationReports, and lost where its lease lapses before or the next one has another id.
func TestStartIsKeptUntilTheNextIncarnationReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := bornTerm(t, kvtest.New(), a)
		ended := crashed(bornReport(1), false)
		ended.Silent = true
		for range 3 {
			starts, _ := receive(t, lead, a, ended)
			assert.Equal(t, len(starts), 0)
			assert.Equal(t, taskOf(lead).Phase(), job.Placed)
		}
		starts, _ := receive(t, lead, a, reportOf("i2"))
		assert.Equal(t, len(starts), 1)
		losses := lead.jobs[lateJob].job.Suspicion(job.TaskID{Job: lateJob}).Losses()
		assert.Equal(t, losses.All(), 1, "it counts once")
		assert.Equal(t, lead.d.config.Metrics.Counter("lead.untold_crashes").Count(), int64(0), "its crash was reported")
	})
}

// TestStartThatMayBeCarriedOutLateIsStoppedUnderAnIdOfLongAgo: its task was placed anew, on a worker with another id meanwhile.
func TestStartThatMayBeCarriedOutLateIsStoppedUnderAnIdOfLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := bornTerm(t, kvtest.New(), a)
		receive(t, lead, a, reportOf("i2"))
		assert.Equal(t, taskOf(lead).Run(), 2)
		_, stops := receive(t, lead, a, bornReport(3))
		assert.DeepEqual(t, stops[0], link.NewRun(job.TaskID{Job: lateJob}, 1))
		time.Sleep(host.LateFor + time.Second)
		assert.NilError(t, lead.closures.Load(t.Context()))
		_, stops = receive(t, lead, a, bornReport(4))
		assert.Assert(t, !slices.Contains(stops, link.NewRun(job.TaskID{Job: lateJob}, 1)))
	})
}

// TestNextLeaderStopsWhatItDoesNotKnowToHaveStarted, by the births that are stored with the hosts.
func TestNextLeaderStopsWhatItDoesNotKnowToHaveStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		lead := bornTerm(t, store, a)
		receive(t, lead, a, shows(bornReport(1)))
		store.Revoke()
		next, err := entryOf("f", store).stand(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, next.load(t.Context()))
		assert.Equal(t, taskOf(next).Host(), job.Host{VM: "vm", Incarnation: incarnation.New("i1", 1)})
		starts, stops := receive(t, next, a, bornReport(2))
		assert.Equal(t, len(starts), 0)
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, taskOf(next).Host(), job.Host{VM: "vm", Incarnation: incarnation.New("i1", 2)})
	})
}

// TestBirthsThatAreLeftOutLoseNothing while a release is rolled out, in either order: the worker is the same.
func TestBirthsThatAreLeftOutLoseNothing(t *testing.T) {
	for name, births := range map[string][2]int64{"agent rolled out": {0, 1}, "agent rolled back": {1, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeAgent{vm: "vm"}
				lead := testTerm(t, kvtest.New())
				receive(t, lead, a, bornReport(births[0]))
				receive(t, lead, a, shows(bornReport(births[0])))
				starts, stops := receive(t, lead, a, shows(bornReport(births[1])))
				assert.Equal(t, len(starts)+len(stops), 0)
				assert.Equal(t, taskOf(lead).Run(), 1)
				assert.Equal(t, taskOf(lead).Host(), job.Host{VM: "vm", Incarnation: incarnation.New("i1", births[1])})
				assert.Equal(t, lead.hosts.len(), 1)
			})
		})
	}
}

// TestEndsOfAnIncarnationAreNotLetGoForTheNext under the same id, whose numbers start anew.
func TestEndsOfAnIncarnationAreNotLetGoForTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := bornTerm(t, kvtest.New(), a)
		first := bornReport(1)
		first.Ended = []link.Ended{{Run: link.Run{Task: "00000000000000bb.0.0.0", Number: 1}, Sequence: 57}}
		answer, err := lead.report(mailbox{a}, first)
		assert.NilError(t, err)
		assert.Equal(t, answer.Seen, uint64(57))
		answer, err = lead.report(mailbox{a}, bornReport(2))
		assert.NilError(t, err)
		assert.Equal(t, answer.Seen, uint64(0))
		work(t, lead)
	})
}

// TestTicketsHoldForOneIncarnation, by the users' rules.
func TestTicketsHoldForOneIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		lead := bornTerm(t, kvtest.New(), a)
		lead.d.config.Advisor = &fakeAdvisor{good: "i1"}
		step := stepID{job: lateJob}
		lead.askAdvice(step, lead.incarnationsOf(testService))
		present := job.Host{VM: "vm", Incarnation: incarnation.New("i1", 1)}
		assert.Equal(t, lead.ticket(present, job.TaskID{Job: lateJob}), "ticket")
		present.Incarnation = incarnation.New("i1", 2)
		assert.Equal(t, lead.ticket(present, job.TaskID{Job: lateJob}), "")
	})
}

// TestUnreachableIncarnationHasCrashedOnceTheNextReports under the same id.
func TestUnreachableIncarnationHasCrashedOnceTheNextReports(t *testing.T) {
	for born, lost := range map[int64]int{1: 0, 2: 1} {
		synctest.Test(t, func(t *testing.T) {
			a := &fakeAgent{vm: "vm"}
			lead := bornTerm(t, kvtest.New(), a)
			receive(t, lead, a, shows(bornReport(1)))
			time.Sleep(permission + 2*margin)
			assert.NilError(t, lead.closures.Load(t.Context()))
			work(t, lead)
			assert.Equal(t, len(lead.unreachable), 1)
			receive(t, lead, a, bornReport(born))
			losses := lead.jobs[lateJob].job.Suspicion(job.TaskID{Job: lateJob}).Losses()
			assert.Equal(t, losses.Over(), lost)
		})
	}
}
