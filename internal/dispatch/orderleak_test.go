package dispatch

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestOrdersEndWithTheirAgent guards against goroutines of an agent that outlive it, which made TestTwoRestartsNeitherDuplicateNorLoseTask panic.
//
// A worker restarts under its id and acknowledges the stop of a start without an answer; the agent waits for the late start; the worker crashes
// and restarts again; the agent ends. Orders used the background context, and those for a replaced incarnation were not canceled.
func TestOrdersEndWithTheirAgent(t *testing.T) {
	for _, startDelay := range []time.Duration{0, 250 * time.Millisecond, 2 * time.Second} {
		for stopAt := time.Duration(0); stopAt < 6*time.Second; stopAt += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newSimulation(ctx, t, 1, false)
				time.Sleep(2 * time.Second)
				s.workers[0].startDelay = startDelay
				s.submitJob()
				for n, after := range []time.Duration{time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
					time.AfterFunc(after, func() { s.crashWorker(restart{kind: clockBehind, concurrent: workerOnly}, n) })
				}
				time.Sleep(stopAt)
				s.killAgent[0]()
				leaked := runnerGoroutineStack()
				cancel()
				s.depose()
				// By then late starts have ended, so that the bubble ends even if a goroutine leaked.
				time.Sleep(time.Minute)
				assert.Equal(t, leaked, "", "start-delay=%v agent ends at %v", startDelay, stopAt)
			})
		}
	}
}

// runnerGoroutineStack returns the stack of a goroutine of an agent, empty if there is none.
func runnerGoroutineStack() string {
	const most = 1 << 20
	stacks := make([]byte, most)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for stack := range strings.SplitSeq(string(stacks), "\n\n") {
		if strings.Contains(stack, "internal/runner.(*Runner)") {
			return stack
		}
	}
	return ""
}
