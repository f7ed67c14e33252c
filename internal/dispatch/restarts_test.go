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
	// clockBehind and clockAhead are under the same id, birthEarlier too, with a time of birth before the last one.
	clockBehind restartKind = iota
	clockAhead
	birthEarlier
	// newID is under another id, without a birth; oldID is under the id of long ago.
	newID
	reusedID
	restartKinds
)

// concurrentFailure is what goes with the crash.
type concurrentFailure int

const (
	workerOnly concurrentFailure = iota
	leaderFails
	agentFails
	bothFail
	concurrentFailures
)

// restart is a crash of the worker that has the task, some time after the job was accepted.
type restart struct {
	at         time.Duration
	kind       restartKind
	concurrent concurrentFailure
}

func (r restart) String() string {
	return fmt.Sprintf("at %v %s %s", r.at, [...]string{"clock-behind", "clock-ahead", "birth-earlier", "new-id", "old-id"}[r.kind],
		[...]string{"alone", "leader-goes", "agent-goes", "both-go"}[r.concurrent])
}

// replayCase is one passage: what the task is, how starts are answered, and the crashes.
type replayCase struct {
	lasting    bool
	startDelay time.Duration
	restarts   []restart
}

func (c replayCase) String() string {
	return fmt.Sprintf("lasting=%t late=%v %v", c.lasting, c.startDelay, c.restarts)
}

const (
	// recoveryLimit bounds the time in which a task with room runs again after the last crash: the lease that a call may have prolonged has to end
	// first where the leader and the agent know nothing of the incarnation.
	recoveryLimit = 20 * time.Second
	// crashBeforeStart is before the start has reached the worker; the others are spread over start, end, report, commit and acknowledgement.
	crashBeforeStart = 1 * time.Millisecond
)

// crashTimes are the times of crashes: each few milliseconds around the start and the end of the task, where all is under way.
func crashTimes() []time.Duration {
	at := []time.Duration{crashBeforeStart}
	for _, around := range []time.Duration{15 * time.Millisecond, 415 * time.Millisecond} {
		for d := range 10 {
			at = append(at, around+time.Duration(d)*3*time.Millisecond)
		}
	}
	return append(at, 150*time.Millisecond, 700*time.Millisecond, 1500*time.Millisecond)
}

// TestRestartNeitherDuplicatesNorLosesTask plays what users saw: after a worker had started again under its id, a lasting task did not run though there
// was room for it, and a task ran again after its acknowledged end.
//
// Cause: a worker was known by its id alone; nothing told the answers, ends and leases of two incarnations apart.
//
// The real leader and agents are played with workers that follow the users' rules: crashes at each point between acceptance, start, view, end,
// report, commit and acknowledgement; under the same id with any clock, under a new id or one of long ago; with the leader or the agent
// gone at that moment; with starts that get no answer and are carried out later, also by the next incarnation.
func TestRestartNeitherDuplicatesNorLosesTask(t *testing.T) { runRestartCases(t, singleRestartCases) }

// TestTwoRestartsNeitherDuplicateNorLoseTask plays a second crash some time after each first one, where ALL_PASSAGES is set: minutes on all cores.
func TestTwoRestartsNeitherDuplicateNorLoseTask(t *testing.T) {
	if os.Getenv("ALL_PASSAGES") != "" {
		runRestartCases(t, doubleRestartCases)
	}
}

// runRestartCases plays the passages of each kind of task, and tells of all that fail.
func runRestartCases(t *testing.T, cases func(lasting bool, late time.Duration) []replayCase) {
	t.Helper()
	for _, lasting := range []bool{false, true} {
		for _, late := range []time.Duration{0, 250 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("lasting=%t/late=%v", lasting, late), func(t *testing.T) {
				t.Parallel()
				played := 0
				for _, c := range cases(lasting, late) {
					var broken []string
					synctest.Test(t, func(t *testing.T) { broken = runRestartCase(t, c) })
					// A bubble that failed would end the test.
					if len(broken) > 0 {
						t.Errorf("%s: %s", c, strings.Join(broken, "; "))
					}
					played++
				}
				t.Logf("%d passages", played)
			})
		}
	}
}

// singleRestartCases returns the passages of one kind of task with one crash.
func singleRestartCases(lasting bool, late time.Duration) []replayCase {
	var cases []replayCase
	for _, at := range crashTimes() {
		for how := range restartKinds {
			for with := range concurrentFailures {
				cases = append(cases, replayCase{lasting, late, []restart{{at, how, with}}})
			}
		}
	}
	return cases
}

// doubleRestartCases returns the passages of one kind of task with two crashes: the second while the worker is away, as it is back, before it reports
// and after that.
func doubleRestartCases(lasting bool, late time.Duration) []replayCase {
	var cases []replayCase
	for _, c := range singleRestartCases(lasting, late) {
		first := c.restarts[0]
		for _, after := range []time.Duration{10 * time.Millisecond, 620 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond} {
			for again := range restartKinds {
				cases = append(cases, replayCase{lasting, late, []restart{first, {first.at + after, again, workerOnly}}})
			}
		}
	}
	return cases
}

// runRestartCase plays one passage on two VMs and returns what was broken.
func runRestartCase(t *testing.T, c replayCase) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	p := newSimulation(ctx, t, 2, c.lasting)
	time.Sleep(2 * time.Second)
	for _, w := range p.workers {
		w.startDelay = c.startDelay
	}
	began := time.Now()
	p.submitJob()
	for n, r := range c.restarts {
		time.Sleep(r.at - time.Since(began))
		p.crashWorker(r, n)
	}
	for _, w := range p.workers {
		w.startDelay = 0
	}
	p.awaitOutcome(c)
	cancel()
	p.depose()
	synctest.Wait()
	return p.violations
}

// crashWorker lets the worker that has the task crashWorker, or the first one.
func (p *simulation) crashWorker(r restart, n int) {
	vm := 0
	for i, w := range p.workers {
		if w.run != nil {
			vm = i
		}
	}
	w := p.workers[vm]
	if r.concurrent == agentFails || r.concurrent == bothFail {
		p.killAgent[vm]()
		defer p.startAgent(vm)
	}
	step := int64(n + 1)
	switch r.kind {
	case clockBehind:
		w.restart(incarnation.New(w.id.Worker(), clockStart+step), time.Minute)
	case clockAhead:
		w.restart(incarnation.New(w.id.Worker(), clockStart+step), time.Duration(step+1)*time.Hour)
	case birthEarlier:
		w.restart(incarnation.New(w.id.Worker(), clockStart-step), time.Second)
	case newID:
		w.restart(incarnation.New(fmt.Sprintf("i-new-%d-%d", vm, n), 0), time.Second)
	case reusedID:
		w.restart(incarnation.New(fmt.Sprintf("i-%d", vm), clockStart+step), time.Second)
	}
	if r.concurrent == leaderFails || r.concurrent == bothFail {
		p.elect()
	}
}

// awaitOutcome waits until the job is completed, or its lasting task runs and goes on running.
func (p *simulation) awaitOutcome(c replayCase) {
	for began := time.Now(); time.Since(began) < recoveryLimit; time.Sleep(5 * time.Millisecond) {
		state := p.state()
		if state == job.Failed && len(c.restarts) >= minKnownCrashes {
			// A task whose workers crash right after its start may be given up after two crashes.
			return
		}
		if !c.lasting && state == job.Completed {
			// What was carried out late shows itself.
			time.Sleep(3 * time.Second)
			return
		}
		if c.lasting && time.Since(began) > 6*time.Second && p.running() == 1 {
			return
		}
	}
	p.recordViolation("the task neither runs nor is done; running=%d", p.running())
}
