package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

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
