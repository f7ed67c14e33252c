package dispatch

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// restartKind is how a worker comes back after a crash.
type restartKind int

const (
	// clockBehind and clockAhead restart under the same id with another clock, startTimeEarlier with a start time before the previous one.
	clockBehind restartKind = iota
	clockAhead
	startTimeEarlier
	// newID restarts under another id without a start time, reusedID under the id that the worker had at first.
	newID
	reusedID
	restartKinds
)

// concurrentFailure is which other processes fail with the worker.
type concurrentFailure int

const (
	workerOnly concurrentFailure = iota
	leaderFails
	agentFails
	bothFail
	concurrentFailures
)

// restart is a crash and restart of the worker that runs the task, at a time after the job was accepted.
type restart struct {
	at         time.Duration
	kind       restartKind
	concurrent concurrentFailure
}

func (r restart) String() string {
	return fmt.Sprintf("at %v %s %s", r.at, [...]string{"clock-behind", "clock-ahead", "birth-earlier", "new-id", "old-id"}[r.kind],
		[...]string{"alone", "leader-goes", "agent-goes", "both-go"}[r.concurrent])
}

// restartCase is a kind of task, the delay of starts, and the restarts of workers.
type restartCase struct {
	longRunning bool
	startDelay  time.Duration
	restarts    []restart
}

func (c restartCase) String() string {
	return fmt.Sprintf("long-running=%t start-delay=%v %v", c.longRunning, c.startDelay, c.restarts)
}

const (
	// recoveryLimit bounds the time from the last crash until a task that fits on a worker runs again: if neither the leader nor the agent has a
	// record of the incarnation, the lease that a call may have extended must expire first.
	recoveryLimit = 20 * time.Second
	// crashBeforeStart is a crash time before the start has reached the worker.
	crashBeforeStart = 1 * time.Millisecond
)

// crashTimes returns the times of crashes after the job was accepted: one before the start, one every 3 ms around the start and the end of the
// task, when messages are in transit, and some between and after these.
func crashTimes() []time.Duration {
	times := []time.Duration{crashBeforeStart}
	for _, center := range []time.Duration{15 * time.Millisecond, 415 * time.Millisecond} {
		for i := range 10 {
			times = append(times, center+time.Duration(i)*3*time.Millisecond)
		}
	}
	return append(times, 150*time.Millisecond, 700*time.Millisecond, 1500*time.Millisecond)
}

// TestRestartNeitherDuplicatesNorLosesTask guards against a long-running task that does not run despite free capacity, and a task that runs again
// after its acknowledged end, once its worker has restarted under the same id. This happened while a worker was identified by its id alone, which
// did not distinguish the answers, ends and leases of two incarnations.
//
// The test runs the real leader and agents with workers that follow the users' rules. Workers crash at each point between acceptance, start,
// view, end, report, commit and acknowledgement; they restart under the same id with any clock, under a new id or under a previous one; the
// leader or the agent fails at the same time; starts get no answer and are carried out later, also by the next incarnation.
func TestRestartNeitherDuplicatesNorLosesTask(t *testing.T) { runRestartCases(t, singleRestartCases) }

// TestTwoRestartsNeitherDuplicateNorLoseTask adds a second crash to each case. It needs minutes on all cores and runs only if ALL_PASSAGES is set.
func TestTwoRestartsNeitherDuplicateNorLoseTask(t *testing.T) {
	if os.Getenv("ALL_PASSAGES") != "" {
		runRestartCases(t, doubleRestartCases)
	}
}

// runRestartCases runs the cases of each kind of task in parallel and reports all that fail.
func runRestartCases(t *testing.T, cases func(longRunning bool, startDelay time.Duration) []restartCase) {
	t.Helper()
	for _, longRunning := range []bool{false, true} {
		for _, startDelay := range []time.Duration{0, 250 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("long-running=%t/start-delay=%v", longRunning, startDelay), func(t *testing.T) {
				t.Parallel()
				count := 0
				for _, c := range cases(longRunning, startDelay) {
					var violations []string
					synctest.Test(t, func(t *testing.T) { violations = runRestartCase(t, c) })
					// Violations are reported outside of the synctest bubble, since a failed bubble would end the test.
					if len(violations) > 0 {
						t.Errorf("%s: %s", c, strings.Join(violations, "; "))
					}
					count++
				}
				t.Logf("%d cases", count)
			})
		}
	}
}

// singleRestartCases returns the cases of one kind of task with one crash.
func singleRestartCases(longRunning bool, startDelay time.Duration) []restartCase {
	var cases []restartCase
	for _, at := range crashTimes() {
		for kind := range restartKinds {
			for concurrent := range concurrentFailures {
				cases = append(cases, restartCase{longRunning, startDelay, []restart{{at, kind, concurrent}}})
			}
		}
	}
	return cases
}

// doubleRestartCases returns the cases of one kind of task with two crashes: the second while the worker is down, just after its restart, before
// its first report and after that.
func doubleRestartCases(longRunning bool, startDelay time.Duration) []restartCase {
	var cases []restartCase
	for _, c := range singleRestartCases(longRunning, startDelay) {
		first := c.restarts[0]
		for _, after := range []time.Duration{10 * time.Millisecond, 620 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond} {
			for kind := range restartKinds {
				cases = append(cases, restartCase{longRunning, startDelay, []restart{first, {first.at + after, kind, workerOnly}}})
			}
		}
	}
	return cases
}

// runRestartCase runs one case on two VMs and returns the violations.
func runRestartCase(t *testing.T, c restartCase) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, 2, c.longRunning)
	time.Sleep(2 * time.Second)
	for _, w := range s.workers {
		w.startDelay = c.startDelay
	}
	began := time.Now()
	s.submitJob()
	for n, r := range c.restarts {
		time.Sleep(r.at - time.Since(began))
		s.crashWorker(r, n)
	}
	for _, w := range s.workers {
		w.startDelay = 0
	}
	s.awaitOutcome(c)
	cancel()
	s.depose()
	synctest.Wait()
	return s.violations
}

// crashWorker crashes the worker that runs the task, or the first one if none does, together with the concurrent failure.
func (s *simulation) crashWorker(r restart, n int) {
	vm := 0
	for i, w := range s.workers {
		if w.run != nil {
			vm = i
		}
	}
	w := s.workers[vm]
	if r.concurrent == agentFails || r.concurrent == bothFail {
		s.killAgent[vm]()
		defer s.startAgent(vm)
	}
	step := int64(n + 1)
	switch r.kind {
	case clockBehind:
		w.restart(incarnation.New(w.id.Worker(), clockStart+step), time.Minute)
	case clockAhead:
		w.restart(incarnation.New(w.id.Worker(), clockStart+step), time.Duration(step+1)*time.Hour)
	case startTimeEarlier:
		w.restart(incarnation.New(w.id.Worker(), clockStart-step), time.Second)
	case newID:
		w.restart(incarnation.New(fmt.Sprintf("i-new-%d-%d", vm, n), 0), time.Second)
	case reusedID:
		w.restart(incarnation.New(fmt.Sprintf("i-%d", vm), clockStart+step), time.Second)
	}
	if r.concurrent == leaderFails || r.concurrent == bothFail {
		s.elect()
	}
}

// awaitOutcome waits until the job is completed, or its long-running task runs after 6 s; it records a violation after recoveryLimit.
func (s *simulation) awaitOutcome(c restartCase) {
	for began := time.Now(); time.Since(began) < recoveryLimit; time.Sleep(5 * time.Millisecond) {
		state := s.state()
		if state == job.Failed && len(c.restarts) >= minKnownCrashes {
			// A task whose workers crash shortly after its start may be given up after two crashes.
			return
		}
		if !c.longRunning && state == job.Completed {
			// Late starts are carried out within this time.
			time.Sleep(3 * time.Second)
			return
		}
		if c.longRunning && time.Since(began) > 6*time.Second && s.running() == 1 {
			return
		}
	}
	s.recordViolation("the task neither runs nor has ended; running=%d", s.running())
}
