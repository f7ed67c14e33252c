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

// TestOrdersEndWithTheirAgent plays what ended the checker of two restarts with a panic: goroutines were left when all processes had ended.
//
// Order of events: a worker that returned under its id before acknowledges the stop of a start without an answer; the agent waits for the late
// start; the worker crashes and returns once more; the agent ends. Cause: orders ran on the background context, and those for an incarnation that was
// replaced were not canceled.
func TestOrdersEndWithTheirAgent(t *testing.T) {
	for _, late := range []time.Duration{0, 250 * time.Millisecond, 2 * time.Second} {
		for at := time.Duration(0); at < 6*time.Second; at += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				p := newSimulation(ctx, t, 1, false)
				time.Sleep(2 * time.Second)
				p.workers[0].startDelay = late
				p.submitJob()
				for n, after := range []time.Duration{time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
					time.AfterFunc(after, func() { p.crashWorker(restart{kind: clockBehind, concurrent: workerOnly}, n) })
				}
				time.Sleep(at)
				p.killAgent[0]()
				left := runnerGoroutineStack()
				cancel()
				p.depose()
				// What was carried out late is over by then, so that the bubble ends also where something is left.
				time.Sleep(time.Minute)
				assert.Equal(t, left, "", "late=%v agent ends at %v", late, at)
			})
		}
	}
}

// runnerGoroutineStack returns the stack of a goroutine of an agent, empty where none is left.
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
