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
				synctest.Test(t, func(t *testing.T) { violations = runRefusedStart(t, startDelay, after) })
				assert.Equal(t, len(violations), 0, "%v", violations)
			})
		}
	}
}

// runRefusedStart lets the workers refuse a start, or not answer it if there is a delay, replaces the leader and returns the violations.
func runRefusedStart(t *testing.T, startDelay, after time.Duration) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, 2, true)
	time.Sleep(2 * time.Second)
	for _, w := range s.workers {
		w.startDelay, w.refusesStarts = startDelay, startDelay == 0
	}
	s.submitJob()
	time.Sleep(after)
	s.elect()
	for _, w := range s.workers {
		w.startDelay, w.refusesStarts = 0, false
	}
	s.awaitOutcome(restartCase{longRunning: true})
	cancel()
	s.depose()
	synctest.Wait()
	return s.violations
}
