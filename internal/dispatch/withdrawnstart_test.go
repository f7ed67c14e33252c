package dispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// withdrawnStartCase is a worker that leaves a start unanswered, answers the stop of the run, and then restarts under its id. Times count from the acceptance
// of the job.
type withdrawnStartCase struct {
	longRunning bool
	// carriedOutAfter is when the worker carries the start out, crashAfter when it crashes, and downtime how long it is down.
	carriedOutAfter, crashAfter, downtime time.Duration
	failed                                concurrentFailure
}

func withdrawnStartCases(longRunning bool, failed concurrentFailure) []withdrawnStartCase {
	var cases []withdrawnStartCase
	for _, carriedOutAfter := range []time.Duration{7, 9, 12} {
		for _, crashAfter := range []time.Duration{3500, 6800, 9500} {
			for _, downtime := range []time.Duration{600, 2700} {
				cases = append(cases, withdrawnStartCase{
					longRunning: longRunning, carriedOutAfter: carriedOutAfter * time.Second, crashAfter: crashAfter * time.Millisecond,
					downtime: downtime * time.Millisecond, failed: failed,
				})
			}
		}
	}
	return cases
}

// TestTaskRunsOnceIfAWithdrawnStartIsCarriedOutAfterACrash guards against a second run beside the first: a stop binds one incarnation of a worker, and the next
// carried out a start that the task had been withdrawn from.
func TestTaskRunsOnceIfAWithdrawnStartIsCarriedOutAfterACrash(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		for failed := range concurrentFailures {
			t.Run(fmt.Sprintf("long-running=%t/failed=%d", longRunning, failed), func(t *testing.T) {
				t.Parallel()
				for _, c := range withdrawnStartCases(longRunning, failed) {
					var violations []string
					synctest.Test(t, func(t *testing.T) { violations = playWithdrawnStart(t, c) })
					if len(violations) > 0 {
						t.Errorf("%+v: %s", c, strings.Join(violations, "; "))
					}
				}
			})
		}
	}
}

func playWithdrawnStart(t *testing.T, c withdrawnStartCase) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, 2, c.longRunning)
	s.taskTime = 12 * time.Second
	time.Sleep(2 * time.Second)
	w, other := s.workers[0], s.workers[1]
	w.holdsCalls, w.startDelay, other.refusesStarts = true, c.carriedOutAfter, true
	const refusalTime, withdrawnAfter = 300 * time.Millisecond, 6500 * time.Millisecond
	playEvents([]event{
		{0, s.submitJob},
		{refusalTime, func() { other.refusesStarts = false }},
		{withdrawnAfter, func() { w.startDelay = 0 }},
		{c.crashAfter - 100*time.Millisecond, func() { s.fail(0, c.failed) }},
		{c.crashAfter, func() { w.restartAfter(incarnation.New(w.id.Worker(), clockStart+1), time.Minute, c.downtime) }},
	})
	time.Sleep(host.MaxCallDelay)
	s.awaitOutcome(restartCase{longRunning: c.longRunning})
	s.end(cancel)
	return s.violations
}

// playOutstandingStart plays events on two VMs. The first start on one of them, which restarts under its id after a time, is carried out late; the other VM
// refuses starts.
func playOutstandingStart(t *testing.T, longRunning bool, late, crashAfter time.Duration, eventsOf func(s *simulation) []event) []string {
	t.Helper()
	const downtime = 1500 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, 2, longRunning)
	s.taskTime = 12 * time.Second
	time.Sleep(2 * time.Second)
	w := s.workers[0]
	w.holdsCalls, w.startDelay, s.workers[1].refusesStarts = true, late, true
	playEvents(append(eventsOf(s), event{0, s.submitJob}, event{crashAfter, func() {
		w.refusesStarts = false
		w.restartAfter(incarnation.New(w.id.Worker(), clockStart+1), time.Minute, downtime)
	}}))
	time.Sleep(host.MaxCallDelay)
	s.awaitOutcome(restartCase{longRunning: longRunning})
	s.end(cancel)
	return s.violations
}

// TestWithdrawnStartIsKnownToTheNextLeader guards against a second run beside the first: the leader that held a task back was replaced while its VM was cut off.
func TestWithdrawnStartIsKnownToTheNextLeader(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		for _, cutAfter := range []time.Duration{5200, 6000, 6800} {
			for _, crashAfter := range []time.Duration{7000, 8500, 9500, 10500} {
				var violations []string
				synctest.Test(t, func(t *testing.T) {
					violations = playOutstandingStart(t, longRunning, 7*time.Second, crashAfter*time.Millisecond, func(s *simulation) []event {
						cut := cutAfter * time.Millisecond
						return []event{
							{300 * time.Millisecond, func() { s.workers[1].refusesStarts = false }},
							{6500 * time.Millisecond, func() { s.workers[0].startDelay = 0 }},
							{cut, func() { s.vmNetworks[0].setCut(true) }},
							{cut + 50*time.Millisecond, s.elect},
							{cut + cutTime, func() { s.vmNetworks[0].setCut(false) }},
						}
					})
				})
				if len(violations) > 0 {
					t.Errorf("long-running=%t cut-after=%dms crash-after=%dms: %v", longRunning, cutAfter, crashAfter, violations)
				}
			}
		}
	}
}

// TestEndedRunIsNotBegunByTheNextIncarnation guards against a second run beside the first: a run was accepted at the second attempt and failed, its task was
// placed elsewhere, and the next incarnation carried out the first attempt.
func TestEndedRunIsNotBegunByTheNextIncarnation(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		for _, late := range []time.Duration{4 * time.Second, 6 * time.Second, 9 * time.Second} {
			var violations []string
			synctest.Test(t, func(t *testing.T) {
				violations = playOutstandingStart(t, longRunning, late, late-500*time.Millisecond, func(s *simulation) []event {
					w := s.workers[0]
					return []event{
						{250 * time.Millisecond, func() { w.startDelay = 0 }},
						{late - 2200*time.Millisecond, func() { w.failRun(); w.refusesStarts, s.workers[1].refusesStarts = true, false }},
					}
				})
			})
			if len(violations) > 0 {
				t.Errorf("long-running=%t carried-out-after=%v: %v", longRunning, late, violations)
			}
		}
	}
}

// failRun ends the run of the worker as failed.
func (w *modelWorker) failRun() {
	w.lock()
	defer w.unlock()
	if w.run != nil {
		w.endRun(job.EndFailed)
	}
}
