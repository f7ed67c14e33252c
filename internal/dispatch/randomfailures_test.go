package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

const (
	// randomSeeds is how many random sequences of failures are played, some 0.1 s each.
	randomSeeds = 150
	// randomVMs is the number of VMs; at most one of their workers is lost permanently.
	randomVMs = 3
)

// TestTaskRunsOnceAfterRandomFailures guards against a long-running task that runs twice, or not within recoveryLimit, after overlapping failures of
// leaders, agents and workers, among them refused, unanswered and late starts.
func TestTaskRunsOnceAfterRandomFailures(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			var failures randomFailures
			synctest.Test(t, func(t *testing.T) { failures = playRandomFailures(t, seed) })
			assert.Equal(t, len(failures.simulation.violations), 0, "%v after %v", failures.simulation.violations, failures.played)
		})
	}
}

// randomFailures plays failures of a simulation.
type randomFailures struct {
	simulation *simulation
	random     *rand.Rand
	// lost is the VM whose worker is lost permanently, -1 for none; crashes counts the crashes of workers.
	lost    int
	crashes int
	played  []string
}

func playRandomFailures(t *testing.T, seed uint64) randomFailures {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, randomVMs, true)
	f := randomFailures{simulation: s, random: rand.New(rand.NewPCG(seed, 0)), lost: -1} //nolint:gosec // the sequence must repeat
	time.Sleep(2 * time.Second)
	began := time.Now()
	s.submitJob()
	for n := range 2 + f.random.IntN(6) {
		pauses := []int{1, 15, 40, 200, 600, 1200, 2500, 4000}
		time.Sleep(time.Duration(pauses[f.random.IntN(len(pauses))]+f.random.IntN(300)) * time.Millisecond)
		vm := f.drawVM()
		f.played = append(f.played, fmt.Sprintf("%v vm%d %s", time.Since(began), vm, f.play(vm, n)))
	}
	for _, w := range s.workers {
		w.startDelay, w.refusesStarts = 0, false
	}
	s.awaitOutcome(restartCase{longRunning: true, restarts: make([]restart, f.crashes)})
	cancel()
	s.depose()
	synctest.Wait()
	return f
}

// drawVM draws a VM whose worker is not lost, in most cases that of the task.
func (f *randomFailures) drawVM() int {
	vm := f.random.IntN(randomVMs)
	for i, w := range f.simulation.workers {
		if w.run != nil && f.random.IntN(4) > 0 {
			vm = i
		}
	}
	if vm == f.lost {
		vm = (vm + 1) % randomVMs
	}
	return vm
}

// play plays a random failure and returns its name.
func (f *randomFailures) play(vm, n int) string {
	s, w := f.simulation, f.simulation.workers[vm]
	switch f.random.IntN(9) {
	case 0:
		s.elect()
		return "leader replaced"
	case 1:
		s.restartLeader()
		return "leader restarted in place"
	case 2:
		s.killAgent[vm]()
		time.Sleep(time.Duration(f.random.IntN(3)*400) * time.Millisecond)
		s.startAgent(vm)
		return "agent restarted"
	case 3:
		return f.silence(w, time.Duration(500+f.random.IntN(7000))*time.Millisecond)
	case 4:
		f.crashes++
		w.restart(incarnation.New(w.id.Worker(), clockStart+int64(n)+1), time.Minute)
		return "worker restarted under its id"
	case 5:
		f.crashes++
		w.restart(incarnation.New(fmt.Sprintf("i-new-%d-%d", vm, n), 0), time.Second)
		return "worker restarted under a new id"
	case 6:
		if f.lost >= 0 {
			return "nothing"
		}
		f.lost = vm
		f.crashes++
		w.restart(w.id, time.Second)
		return "worker lost, " + f.silence(w, time.Hour)
	case 7:
		refuses := f.random.IntN(2) == 0
		for _, w := range s.workers {
			w.refusesStarts = refuses
		}
		return fmt.Sprintf("starts refused: %t", refuses)
	}
	delay := []time.Duration{0, 250 * time.Millisecond, 2 * time.Second}[f.random.IntN(3)]
	for _, w := range s.workers {
		w.startDelay = delay
	}
	return fmt.Sprintf("starts delayed by %v", delay)
}

// silence makes a worker leave calls unanswered.
func (*randomFailures) silence(w *modelWorker, duration time.Duration) string {
	w.lock()
	defer w.unlock()
	w.downUntil = time.Now().Add(duration)
	return fmt.Sprintf("silent for %v", duration)
}
