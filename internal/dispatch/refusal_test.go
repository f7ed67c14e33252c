package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusedTaskRunsAfterLeaderChange guards against a task whose start was refused and that never runs again, because the agent discarded the
// refusal with the orders of the earlier leader and ignores the start that the next leader repeats.
func TestRefusedTaskRunsAfterLeaderChange(t *testing.T) {
	for _, startDelay := range []time.Duration{0, 30 * time.Second} {
		for _, after := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("start-delay=%v after=%v", startDelay, after), func(t *testing.T) {
				var violations []string
				synctest.Test(t, func(t *testing.T) { violations = runFailedStart(t, startDelay, after, false) })
				assert.Equal(t, len(violations), 0, "%v", violations)
			})
		}
	}
}

// TestTaskRunsAfterItsStartFailedUnderAnEarlierLeader guards against a long-running task that never runs because its start got no answer and the
// leader was replaced before it committed that the start was given up.
func TestTaskRunsAfterItsStartFailedUnderAnEarlierLeader(t *testing.T) {
	for _, inPlace := range []bool{false, true} {
		for after := 100 * time.Millisecond; after <= 4*time.Second; after += 100 * time.Millisecond {
			t.Run(fmt.Sprintf("in-place=%t after %v", inPlace, after), func(t *testing.T) {
				var violations []string
				synctest.Test(t, func(t *testing.T) { violations = runFailedStart(t, time.Minute, after, inPlace) })
				assert.Equal(t, len(violations), 0, "%v", violations)
			})
		}
	}
}

// runFailedStart lets the workers refuse a start, or not answer it if there is a delay, replaces the leader, by one at its address if inPlace is set,
// and returns the violations.
func runFailedStart(t *testing.T, startDelay, after time.Duration, inPlace bool) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, 2, true)
	time.Sleep(2 * time.Second)
	for _, w := range s.workers {
		w.startDelay, w.refusesStarts = startDelay, startDelay == 0
	}
	s.submitJob()
	time.Sleep(after)
	if inPlace {
		s.restartLeader()
	} else {
		s.elect()
	}
	for _, w := range s.workers {
		w.startDelay, w.refusesStarts = 0, false
	}
	s.awaitOutcome(restartCase{longRunning: true})
	cancel()
	s.depose()
	synctest.Wait()
	return s.violations
}
