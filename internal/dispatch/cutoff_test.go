package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// vmNetwork has the connections of one VM to the others, which can be cut.
type vmNetwork struct {
	network *pipeNetwork

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func (v *vmNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	if v.isCut() {
		return nil, fault.New(fault.Unavailable, "cut")
	}
	conn, err := v.network.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conns = append(v.conns, conn)
	return conn, nil
}

func (v *vmNetwork) isCut() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cut
}

// setCut cuts all connections of the VM, or allows new ones.
func (v *vmNetwork) setCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
	for _, conn := range v.conns {
		_ = conn.Close()
	}
	v.conns = nil
}

// cutOffCase is a worker that restarts under its id and whose VM is cut off some time after that.
type cutOffCase struct {
	kind       restartKind
	concurrent concurrentFailure
	// maxRenewal is the longest lease that workers grant, cutAfter the time from the restart to the cut.
	maxRenewal time.Duration
	cutAfter   time.Duration
	// afterCut is which other processes fail 100 ms after the cut.
	afterCut concurrentFailure
	// startDelay delays starts, which get no answer.
	startDelay time.Duration
}

func (c cutOffCase) String() string {
	return fmt.Sprintf("%v max-renewal=%v cut-after=%v then=%d start-delay=%v", restart{kind: c.kind, concurrent: c.concurrent}, c.maxRenewal, c.cutAfter,
		c.afterCut, c.startDelay)
}

// cutOffCases returns the cases of a kind of restart, with a cut at each moment from the restart to two seconds after it.
func cutOffCases(kind restartKind) []cutOffCase {
	var cases []cutOffCase
	for _, longest := range []time.Duration{6 * time.Second, 10 * time.Second} {
		for afterCut := range concurrentFailures {
			for n, cutAfter := range []time.Duration{610, 640, 800, 1600, 3400, 5000} {
				delay := time.Duration(0)
				if n%2 == 1 {
					delay = 250 * time.Millisecond
				}
				cases = append(cases, cutOffCase{kind, workerOnly, longest, cutAfter * time.Millisecond, afterCut, delay},
					cutOffCase{kind, agentFails, longest, cutAfter * time.Millisecond, afterCut, delay})
			}
		}
	}
	return cases
}

// TestTaskRunsOnceIfItsVMIsCutOffAfterARestart guards against a second run beside the first: a call for the previous incarnation set the lease of a
// restarted worker on another clock, for as long as the worker grants at most, and once its VM was cut off the leader waited for the agent lease only.
func TestTaskRunsOnceIfItsVMIsCutOffAfterARestart(t *testing.T) {
	for kind := range restartKinds {
		t.Run(fmt.Sprintf("kind=%d", kind), func(t *testing.T) {
			t.Parallel()
			for _, c := range cutOffCases(kind) {
				var violations []string
				synctest.Test(t, func(t *testing.T) { violations = playCutOff(t, c) })
				if len(violations) > 0 {
					t.Errorf("%s: %s", c, strings.Join(violations, "; "))
				}
			}
		})
	}
}

// slowStop is how long a stop takes at most by the users' rules.
const slowStop = 900 * time.Millisecond

// playCutOff plays a case on two VMs: the worker beside the task restarts, its VM is cut off, and the task must run on the other one.
func playCutOff(t *testing.T, c cutOffCase) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, 2, true)
	s.maxRenewal = c.maxRenewal
	for vm, w := range s.workers {
		w.stopTime, w.lateRenewals = slowStop, true
		s.killAgent[vm]()
		s.startAgent(vm)
	}
	time.Sleep(2 * time.Second)
	s.submitJob()
	time.Sleep(500 * time.Millisecond)
	vm := max(s.runningOn(), 0)
	other := s.workers[1-vm]
	other.refusesStarts = true
	for _, w := range s.workers {
		w.startDelay = c.startDelay
	}
	s.crashWorker(restart{kind: c.kind, concurrent: c.concurrent}, 0)
	time.Sleep(c.cutAfter)
	s.vmNetworks[vm].setCut(true)
	for _, w := range s.workers {
		w.startDelay, w.refusesStarts = 0, false
	}
	time.Sleep(100 * time.Millisecond)
	s.fail(vm, c.afterCut)
	time.Sleep(12 * time.Second)
	s.vmNetworks[vm].setCut(false)
	s.awaitOutcome(restartCase{longRunning: true})
	cancel()
	s.depose()
	synctest.Wait()
	return s.violations
}

// TestTaskRunsOnceAfterRandomRestartsAndCuts guards against a second run beside the first after restarts of workers under their ids, cuts of their VMs, and
// failures of agents and leaders in any order.
func TestTaskRunsOnceAfterRandomRestartsAndCuts(t *testing.T) {
	const seeds = 60
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			var f randomFailures
			synctest.Test(t, func(t *testing.T) { f = playRandomCuts(t, seed) })
			if len(f.simulation.violations) > 0 {
				t.Errorf("%v after %v", f.simulation.violations, f.played)
			}
		})
	}
}

func playRandomCuts(t *testing.T, seed uint64) randomFailures {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, randomVMs, true)
	f := randomFailures{simulation: s, random: rand.New(rand.NewPCG(seed, 1)), lost: -1} //nolint:gosec // the sequence must repeat
	s.maxRenewal = time.Duration(6+4*f.random.IntN(2)) * time.Second
	for vm, w := range s.workers {
		w.stopTime, w.lateRenewals = slowStop, true
		s.killAgent[vm]()
		s.startAgent(vm)
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	s.submitJob()
	for n := range 3 + f.random.IntN(5) {
		time.Sleep(time.Duration([]int{15, 200, 600, 900, 1500, 4000}[f.random.IntN(6)]+f.random.IntN(300)) * time.Millisecond)
		vm := f.drawVM()
		f.played = append(f.played, fmt.Sprintf("%v vm%d %s", time.Since(began), vm, f.playRestartOrCut(vm, n)))
	}
	for vm, w := range s.workers {
		w.startDelay = 0
		s.vmNetworks[vm].setCut(false)
	}
	s.awaitOutcome(restartCase{longRunning: true, restarts: make([]restart, f.crashes)})
	cancel()
	s.depose()
	synctest.Wait()
	return f
}

// playRestartOrCut plays a random restart, cut or failure and returns its name.
func (f *randomFailures) playRestartOrCut(vm, n int) string {
	s := f.simulation
	switch f.random.IntN(8) {
	case 0, 1, 2:
		f.crashes++
		r := restart{kind: restartKind(f.random.IntN(int(restartKinds))), concurrent: concurrentFailure(f.random.IntN(int(concurrentFailures)))}
		s.crashWorker(r, n)
		return "restart " + r.String()
	case 3, 4:
		for other := range s.vmNetworks {
			s.vmNetworks[other].setCut(other == vm)
		}
		return "cut off"
	case 5:
		s.elect()
		return "leader replaced"
	case 6:
		s.killAgent[vm]()
		time.Sleep(time.Duration(f.random.IntN(3)*400) * time.Millisecond)
		s.startAgent(vm)
		return "agent restarted"
	}
	delay := []time.Duration{0, 250 * time.Millisecond, 2 * time.Second}[f.random.IntN(3)]
	for _, w := range s.workers {
		w.startDelay = delay
	}
	return fmt.Sprintf("starts delayed by %v", delay)
}
