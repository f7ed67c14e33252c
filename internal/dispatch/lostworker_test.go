package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// reportEvery lets an agent send the same report at an interval, while the agent of another VM reports a worker with free capacity.
func reportEvery(t *testing.T, leader *term, lost *fakeAgent, r link.Report, duration time.Duration) {
	t.Helper()
	other := testReport("i9")
	other.VM = "other"
	for began := time.Now(); time.Since(began) < duration; time.Sleep(600 * time.Millisecond) {
		assert.NilError(t, leader.closures.Load(t.Context()))
		for id, p := range leader.hostRuns("other", "i9") {
			other.Running = []link.Running{{Run: link.NewRun(id, p.number), Percent: 1}}
		}
		reportAndRun(t, leader, &fakeAgent{vm: "other"}, other)
		reportAndRun(t, leader, lost, r)
	}
}

// TestTaskOfLostWorkerRunsElsewhereDespiteUnconfirmedReports guards against reports that keep the runs of a lost worker placed forever although its
// agent has not reached it under the leader's epoch.
func TestTaskOfLostWorkerRunsElsewhereDespiteUnconfirmedReports(t *testing.T) {
	lost := reportWithStartTime(1)
	lost.Unreachable, lost.LeaseExpired = true, true
	unconfirmed := lost
	unconfirmed.Fenced = false
	for name, c := range map[string]struct {
		newLeader bool
		first     link.Report
		then      link.Report
	}{
		"first report under the earlier epoch":   {newLeader: true, first: lost, then: unconfirmed},
		"all reports under the leader's epoch":   {newLeader: true, first: unconfirmed, then: unconfirmed},
		"agent restarted and knows no worker":    {first: link.Report{VM: "vm"}, then: link.Report{VM: "vm"}},
		"agent restarted after a heartbeat":      {first: unconfirmed, then: unconfirmed},
		"agent restarted, leader replaced later": {newLeader: true, first: lost, then: link.Report{VM: "vm"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, a := kvtest.New(), &fakeAgent{vm: "vm"}
				leader := termWithStartTime(t, store, a)
				reportAndRun(t, leader, a, withFirstRun(reportWithStartTime(1)))
				storeJob(t, leader)
				if c.newLeader {
					earlier := leader.epoch
					store.RemoveLeasedKeys()
					next, err := newTestEntry("f", store).tryAcquire(t.Context())
					assert.NilError(t, err)
					assert.NilError(t, next.load(t.Context()))
					leader = next
					first := c.first
					if first.Fenced {
						first.Epoch = earlier
						_, err = leader.report(fakeSession{a}, first)
						assert.NilError(t, err)
					}
				}
				reportEvery(t, leader, a, c.then, recoveryLimit)
				assert.Equal(t, testTask(leader).Host().VM, "other")
			})
		})
	}
}

// lostWorkerCase is the loss of a worker, with other processes that fail at a time after it.
type lostWorkerCase struct {
	// silence is how long the worker, whose runs continue, does not answer; 0 stands for a worker that crashes and never returns.
	silence    time.Duration
	concurrent concurrentFailure
	after      time.Duration
	// inPlace restarts the leader at its address, where agents connect to it under its earlier epoch until they read its record.
	inPlace bool
}

func (c lostWorkerCase) String() string {
	return fmt.Sprintf("silence=%v %s in-place=%t after %v", c.silence,
		[...]string{"alone", "leader-goes", "agent-goes", "both-go"}[c.concurrent], c.inPlace, c.after)
}

// lostWorkerCases returns all cases of one silence.
func lostWorkerCases(silence time.Duration) []lostWorkerCase {
	cases := []lostWorkerCase{{silence: silence, concurrent: workerOnly}}
	for concurrent := leaderFails; concurrent < concurrentFailures; concurrent++ {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
			cases = append(cases, lostWorkerCase{silence: silence, concurrent: concurrent, after: after})
			if concurrent == leaderFails || concurrent == bothFail {
				cases = append(cases, lostWorkerCase{silence: silence, concurrent: concurrent, after: after, inPlace: true})
			}
		}
	}
	return cases
}

// TestTaskOfLostWorkerRunsElsewhereAfterRestarts guards against a long-running task that does not run again after its worker was lost and its agent
// or the leader was restarted.
func TestTaskOfLostWorkerRunsElsewhereAfterRestarts(t *testing.T) { runLostWorkerCases(t, 0) }

// TestTaskOfSilentWorkerRunsOnceAfterRestarts guards against a task that is placed again while its worker, which does not answer for a while, still
// runs it.
func TestTaskOfSilentWorkerRunsOnceAfterRestarts(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second, 5500 * time.Millisecond, 8 * time.Second, 12 * time.Second} {
		runLostWorkerCases(t, silence)
	}
}

// runLostWorkerCases runs the cases of one silence, each as a test of its own.
func runLostWorkerCases(t *testing.T, silence time.Duration) {
	t.Helper()
	for _, c := range lostWorkerCases(silence) {
		t.Run(c.String(), func(t *testing.T) {
			var violations []string
			synctest.Test(t, func(t *testing.T) { violations = runLostWorkerCase(t, c) })
			assert.Equal(t, len(violations), 0, "%v", violations)
		})
	}
}

// runLostWorkerCase loses the worker of a long-running task and returns the violations.
func runLostWorkerCase(t *testing.T, c lostWorkerCase) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, 2, true)
	time.Sleep(2 * time.Second)
	s.submitJob()
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, s.running(), 1)
	vm := s.loseWorker(c.silence)
	time.Sleep(c.after)
	if c.concurrent == agentFails || c.concurrent == bothFail {
		s.killAgent[vm]()
	}
	switch {
	case c.inPlace:
		s.restartLeader()
	case c.concurrent == leaderFails || c.concurrent == bothFail:
		s.elect()
	}
	if c.concurrent == agentFails || c.concurrent == bothFail {
		s.startAgent(vm)
	}
	s.awaitOutcome(restartCase{longRunning: true})
	cancel()
	s.depose()
	synctest.Wait()
	return s.violations
}

// loseWorker makes the worker that runs the task leave calls unanswered for a while, or crash and never return if silence is 0, and returns the
// index of its VM.
func (s *simulation) loseWorker(silence time.Duration) int {
	for vm, w := range s.workers {
		if w.run == nil {
			continue
		}
		if silence == 0 {
			w.restart(w.id, time.Second)
			silence = time.Hour
		}
		w.lock()
		w.downUntil = time.Now().Add(silence)
		w.unlock()
		return vm
	}
	s.t.Fatal("the task does not run")
	return 0
}

// staleLeaderStore is the store of the agent of a VM, which reads an outdated record of the leader for a while.
type staleLeaderStore struct {
	*kvtest.Store
	simulation *simulation
	vm         int
}

// Get implements kv.Store.
func (s staleLeaderStore) Get(ctx context.Context, key string) (kv.Item, error) {
	if key == record.LeaderKey && (time.Now().Before(s.simulation.staleLeaderUntil) || s.vm == s.simulation.cutAgent) {
		return s.simulation.staleLeader, nil
	}
	return s.Store.Get(ctx, key)
}

// restartLeader replaces the leader by a process at the same address, whose record agents read late.
func (s *simulation) restartLeader() {
	item, err := s.store.Get(s.ctx, record.LeaderKey)
	assert.NilError(s.t, err)
	s.staleLeader, s.staleLeaderUntil = item, time.Now().Add(leaderDiscoveryTime)
	s.leaders--
	s.elect()
}
