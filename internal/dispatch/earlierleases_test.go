package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const (
	// lostTaskLimit is the time after the last failure within which a long-running task must run again if a worker has capacity for it: the
	// platform's time until machines are in touch, four seconds without failures and three seconds without the task.
	lostTaskLimit = 10 * time.Second
	// weakestEntry is the smallest processor share of an entry in a deployment.
	weakestEntry = 0.192
	// planAndStartTime bounds the time from when a task may be placed until its start reaches a worker, if nothing fails.
	planAndStartTime = maxPlanInterval + commitDelay + 100*time.Millisecond
	// unreportedLimit is the longest time after a change of the leader until a task runs again whose worker no agent reports.
	unreportedLimit = leaderTimeout + agentLeaseMargin + planAndStartTime
)

// TestUnreportedWorkerIsGivenUpInTime guards against constants by which the tasks of an unreported worker wait longer after the loss of all entries
// than the platform allows.
func TestUnreportedWorkerIsGivenUpInTime(t *testing.T) {
	takeover := leaseTTL + candidateDelay(0, weakestEntry, 1)
	assert.Assert(t, takeover+unreportedLimit <= lostTaskLimit, "%v", takeover+unreportedLimit)
}

// TestTaskOfLostWorkerRunsAgainInTime guards against a long-running task that waits for the leases of earlier leaders longer than they may last, or
// than the agent beside its lost worker shows them to last.
func TestTaskOfLostWorkerRunsAgainInTime(t *testing.T) {
	const (
		// agentReportTime bounds the time in which an agent reports to a new leader without help of an entry: it reads the store each second at
		// first and reports each 0.6 s.
		agentReportTime = 2 * time.Second
		// reportedLimit bounds the recovery of a worker that its agent reports on: its leases last 3.5 s.
		reportedLimit = 3500*time.Millisecond + agentReportTime + planAndStartTime
	)
	for name, c := range map[string]struct {
		agentReturns bool
		agentStays   bool
		limit        time.Duration
	}{
		"agent stays":           {agentStays: true, limit: reportedLimit},
		"agent is restarted":    {agentReturns: true, limit: reportedLimit},
		"agent and VM are gone": {limit: unreportedLimit},
	} {
		t.Run(name, func(t *testing.T) {
			for _, pause := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond} {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					s := newSimulation(ctx, t, 2, true)
					defer s.end(cancel)
					time.Sleep(2 * time.Second)
					s.submitJob()
					time.Sleep(1500 * time.Millisecond)
					vm := s.loseWorker(0)
					time.Sleep(pause)
					if !c.agentStays {
						s.killAgent[vm]()
					}
					if c.agentReturns {
						s.startAgent(vm)
					}
					time.Sleep(pause)
					s.elect()
					began := time.Now()
					for s.running() == 0 && time.Since(began) < 2*lostTaskLimit {
						time.Sleep(5 * time.Millisecond)
					}
					assert.Assert(t, time.Since(began) <= c.limit, "after %v, limit %v", time.Since(began), c.limit)
					assert.Equal(t, len(s.violations), 0, "%v", s.violations)
				})
			}
		})
	}
}

// TestTaskDoesNotRunBesideAnotherWhileAnAgentFollowsTheEarlierLeader guards against a new leader that places a task elsewhere while an earlier leader,
// which the store no longer answers, still grants leases to the agent of its worker.
func TestTaskDoesNotRunBesideAnotherWhileAnAgentFollowsTheEarlierLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSimulation(ctx, t, 2, true)
		defer s.end(cancel)
		time.Sleep(2 * time.Second)
		s.submitJob()
		time.Sleep(1500 * time.Millisecond)
		s.electBeside()
		began := time.Now()
		assert.Equal(t, s.running(), 1)
		vm := s.runningOn()
		for s.running() == 0 || s.runningOn() == vm {
			time.Sleep(5 * time.Millisecond)
			assert.Assert(t, time.Since(began) <= unreportedLimit, "the task does not run elsewhere after %v", time.Since(began))
		}
		assert.Assert(t, time.Since(began) > agentLease, "the earlier leader has granted no lease since the election")
		assert.Equal(t, len(s.violations), 0, "%v", s.violations)
	})
}

// TestLeaderAwaitsLeasesOfThePreviousRelease guards against a task that runs twice during an upgrade: leaders of the previous release, which store no
// bound of their leases, grant them for longer.
func TestLeaderAwaitsLeasesOfThePreviousRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		previous := termWithStartTime(t, store, a)
		reportAndRun(t, previous, a, withFirstRun(reportWithStartTime(1)))
		storeJob(t, previous)
		assert.NilError(t, store.CommitAsOperator(kv.Txn{Removes: []string{record.LeasesKey}}))
		first := takeOverFrom(t, store, "f")
		assert.Equal(t, first.earlierLeases, previousReleaseTimeout)
		time.Sleep(leaderTimeout + agentLeaseMargin)
		second := takeOverFrom(t, store, "g")
		assert.Equal(t, second.earlierLeases, previousReleaseTimeout, "those of the previous release may still last")
		time.Sleep(previousReleaseTimeout + agentLeaseMargin)
		second.schedule()
		assert.Equal(t, testTask(second).Phase(), job.Placed)
		time.Sleep(time.Millisecond)
		assert.NilError(t, second.closures.Load(t.Context()))
		runCycle(t, second)
		assert.Equal(t, testTask(second).Phase(), job.Waiting)
		assert.Equal(t, takeOverFrom(t, store, "h").earlierLeases, leaderTimeout)
	})
}

// TestSuccessorKnowsHowLongLeasesLast guards against a successor that waits longer than the leases granted by the leader that asked it to take over,
// and against leases that this leader grants afterwards.
func TestSuccessorKnowsHowLongLeasesLast(t *testing.T) {
	for name, c := range map[string]struct{ age, remaining time.Duration }{
		"earlier leases last longest": {age: time.Second, remaining: leaderTimeout - time.Second},
		"own leases last longest":     {age: leaderTimeout, remaining: agentLease},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, a := kvtest.New(), &fakeAgent{vm: "vm"}
				termWithStartTime(t, store, a)
				leader := takeOverFrom(t, store, "f")
				time.Sleep(c.age)
				assert.NilError(t, leader.verifyLeadership(t.Context()))
				answer, err := leader.report(fakeSession{a}, link.Report{VM: "vm", Epoch: leader.epoch})
				assert.NilError(t, err)
				assert.Equal(t, answer.LeaseMillis, agentLease.Milliseconds())

				successor := newTestEntry("g", store)
				successor.TakeOver(leader.epoch, leader.stepDown("g", "a test"))
				answer, err = leader.report(fakeSession{a}, link.Report{VM: "vm", Epoch: leader.epoch})
				assert.NilError(t, err)
				assert.Equal(t, answer.LeaseMillis, int64(0))
				next, err := successor.tryAcquire(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, next.earlierLeases, c.remaining)
			})
		})
	}
}

// takeOverFrom lets another entry take over once the lease of the leader has expired in the store.
func takeOverFrom(t *testing.T, store *kvtest.Store, name string) *term {
	t.Helper()
	store.RemoveLeasedKeys()
	next, err := newTestEntry(name, store).tryAcquire(t.Context())
	assert.NilError(t, err)
	assert.NilError(t, next.load(t.Context()))
	return next
}

// TestWaitForARestartedWorkerDoesNotGrowWithEachLeader guards against tasks of a lost worker that wait ever longer: what the store has of its lease was
// counted anew from the start of each leader.
func TestWaitForARestartedWorkerDoesNotGrowWithEachLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const longest = 10200 * time.Millisecond
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := testTerm(t, store)
		report := reportWithStartTime(1)
		report.MaxLeaseMillis = longest.Milliseconds()
		reportAndRun(t, leader, a, report)
		assert.Equal(t, testTask(leader).Phase(), job.Placed)
		reportAndRun(t, leader, a, withFirstRun(report))
		time.Sleep(longest - leaderTimeout)
		runCycle(t, leader)
		for _, name := range []string{"f", "g", "h"} {
			time.Sleep(time.Second)
			leader = takeOverFrom(t, store, name)
			assert.Assert(t, !leader.hosts.all()[0].outlivesLeader(leader.startedAt))
			time.Sleep(leaderTimeout + agentLeaseMargin - time.Millisecond)
			leader.schedule()
			assert.Equal(t, testTask(leader).Phase(), job.Placed)
		}
		time.Sleep(2 * time.Millisecond)
		leader.schedule()
		assert.Equal(t, testTask(leader).Phase(), job.Waiting)
	})
}
