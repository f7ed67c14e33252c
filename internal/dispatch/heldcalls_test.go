package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// heldCallCase is a worker that restarts under its id, while calls to it wait for its next incarnation. All times count from the crash.
type heldCallCase struct {
	maxRenewal time.Duration
	// downtime is how long the worker is down, submitAfter when the job is accepted.
	downtime, submitAfter time.Duration
	// cutAfter is when the VM is cut off, 0 if it is not, failAfter when the other processes fail.
	cutAfter, failAfter time.Duration
	failed              concurrentFailure
}

// cutTime is how long the VM of a restarted worker is cut off.
const cutTime = 9 * time.Second

// heldCallCases returns the cases with a longest lease and a failure of other processes.
func heldCallCases(maxRenewal time.Duration, failed concurrentFailure) []heldCallCase {
	var cases []heldCallCase
	for _, downtime := range []time.Duration{600, 2700, 4200, 6000, 9000, 13000} {
		for _, submitAfter := range []time.Duration{5, 400} {
			for _, cutAfter := range []time.Duration{0, 300, 1200} {
				for _, failAfter := range []time.Duration{200, 1500} {
					cases = append(cases, heldCallCase{
						maxRenewal: maxRenewal, downtime: downtime * time.Millisecond, submitAfter: submitAfter * time.Millisecond,
						cutAfter: cutAfter * time.Millisecond, failAfter: failAfter * time.Millisecond, failed: failed,
					})
				}
			}
		}
	}
	return cases
}

// TestTaskRunsOnceIfTheNextIncarnationCarriesOutHeldCalls guards against a second run beside the first: a worker that was down took a start meant for its
// previous incarnation after the task had been placed elsewhere.
func TestTaskRunsOnceIfTheNextIncarnationCarriesOutHeldCalls(t *testing.T) {
	for _, maxRenewal := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for failed := range concurrentFailures {
			t.Run(fmt.Sprintf("max-renewal=%v/failed=%d", maxRenewal, failed), func(t *testing.T) {
				t.Parallel()
				for _, c := range heldCallCases(maxRenewal, failed) {
					var violations []string
					synctest.Test(t, func(t *testing.T) { violations = playHeldCalls(t, c) })
					if len(violations) > 0 {
						t.Errorf("%+v: %s", c, strings.Join(violations, "; "))
					}
				}
			})
		}
	}
}

// playHeldCalls plays a case on two VMs: the task is placed beside the worker that is down, while the other one refuses starts.
func playHeldCalls(t *testing.T, c heldCallCase) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, 2, true)
	s.maxRenewal = c.maxRenewal
	for vm, w := range s.workers {
		w.stopTime, w.holdsCalls = slowStop, true
		s.killAgent[vm]()
		s.startAgent(vm)
	}
	time.Sleep(2 * time.Second)
	const refusalTime = 300 * time.Millisecond
	w, other := s.workers[0], s.workers[1]
	other.refusesStarts = true
	w.restartAfter(incarnation.New(w.id.Worker(), clockStart+1), time.Minute, c.downtime)
	events := []event{
		{c.submitAfter, s.submitJob},
		{c.submitAfter + refusalTime, func() { other.refusesStarts = false }},
		{c.failAfter, func() { s.fail(0, c.failed) }},
	}
	if c.cutAfter > 0 {
		events = append(events, event{c.cutAfter, func() { s.vmNetworks[0].setCut(true) }},
			event{c.cutAfter + cutTime, func() { s.vmNetworks[0].setCut(false) }})
	}
	playEvents(events)
	time.Sleep(max(c.downtime-cutTime, 0) + time.Second)
	s.awaitOutcome(restartCase{longRunning: true})
	s.end(cancel)
	return s.violations
}

// heldCallSeeds is how many random sequences of restarts with held calls are played.
const heldCallSeeds = 300

// TestTaskRunsOnceAfterRandomRestartsWithHeldCalls guards against a second run beside the first after restarts of workers that hold calls meanwhile, late
// starts, cuts, and failures of agents and leaders in any order.
func TestTaskRunsOnceAfterRandomRestartsWithHeldCalls(t *testing.T) {
	for seed := range uint64(heldCallSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			var f randomFailures
			synctest.Test(t, func(t *testing.T) { f = playRandomHeldCalls(t, seed) })
			if len(f.simulation.violations) > 0 {
				t.Errorf("%v after %v", f.simulation.violations, f.played)
			}
		})
	}
}

func playRandomHeldCalls(t *testing.T, seed uint64) randomFailures {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // the sequence must repeat
	s := newSimulation(ctx, t, randomVMs, random.IntN(2) == 0)
	f := randomFailures{simulation: s, random: random, lost: -1}
	s.maxRenewal, s.taskTime = time.Duration(6+4*random.IntN(2))*time.Second, 8*time.Second
	for vm, w := range s.workers {
		w.stopTime, w.holdsCalls = slowStop, true
		s.killAgent[vm]()
		s.startAgent(vm)
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	s.submitJob()
	for n := range 4 + random.IntN(6) {
		time.Sleep(time.Duration([]int{2, 15, 40, 200, 600, 1500, 4000}[random.IntN(7)]+random.IntN(100)) * time.Millisecond)
		vm := f.drawVM()
		f.played = append(f.played, fmt.Sprintf("%v vm%d %s", time.Since(began), vm, f.playHeldCall(vm, n)))
	}
	for vm, w := range s.workers {
		w.startDelay = 0
		s.vmNetworks[vm].setCut(false)
	}
	time.Sleep(host.MaxCallDelay)
	s.awaitOutcome(restartCase{longRunning: s.longRunning, restarts: make([]restart, f.crashes)})
	s.end(cancel)
	return f
}

// playHeldCall plays a restart with a random downtime, or another random failure, and returns its name.
func (f *randomFailures) playHeldCall(vm, n int) string {
	s, w := f.simulation, f.simulation.workers[vm]
	switch f.random.IntN(8) {
	case 0, 1, 2:
		f.crashes++
		downtime := time.Duration([]int{300, 600, 1500, 2700, 4500, 7000}[f.random.IntN(6)]+f.random.IntN(200)) * time.Millisecond
		clock := []time.Duration{time.Second, time.Minute, time.Duration(n+2) * time.Hour}[f.random.IntN(3)]
		w.restartAfter(incarnation.New(w.id.Worker(), clockStart+int64(n)+1), clock, downtime)
		return fmt.Sprintf("down for %v, then clock %v", downtime, clock)
	case 3:
		s.vmNetworks[vm].setCut(true)
		return "cut off"
	case 4:
		s.elect()
		return "leader replaced"
	case 5:
		s.killAgent[vm]()
		time.Sleep(time.Duration(f.random.IntN(3)*400) * time.Millisecond)
		s.startAgent(vm)
		return "agent restarted"
	case 6:
		for other := range s.vmNetworks {
			s.vmNetworks[other].setCut(false)
		}
		return "cuts end"
	}
	delay := []time.Duration{0, 250 * time.Millisecond, 2 * time.Second, 6 * time.Second}[f.random.IntN(4)]
	for _, w := range s.workers {
		w.startDelay = delay
	}
	return fmt.Sprintf("starts delayed by %v", delay)
}

// event is something that happens some time after the start of a case.
type event struct {
	after  time.Duration
	action func()
}

// playEvents plays events at their times.
func playEvents(events []event) {
	began := time.Now()
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.after, b.after) })
	for _, e := range events {
		time.Sleep(time.Until(began.Add(e.after)))
		e.action()
	}
}

// fail makes the agent of a VM or the leader fail.
func (s *simulation) fail(vm int, failed concurrentFailure) {
	if failed == agentFails || failed == bothFail {
		s.killAgent[vm]()
		s.startAgent(vm)
	}
	if failed == leaderFails || failed == bothFail {
		s.elect()
	}
}
