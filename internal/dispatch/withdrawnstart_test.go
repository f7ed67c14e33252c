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
