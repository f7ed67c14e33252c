package fleet

import (
	"fmt"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// readyTimeout bounds the start of a fleet.
const readyTimeout = 30 * time.Second

// awaitReady waits until the fleet accepts a job and completes it.
func (f *Fleet) awaitReady() error {
	c := NewCaller(f, 0)
	id := c.addJob(job.Spec{Text: "work=1ms", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 100}, Estimate: time.Millisecond}}})
	return f.await(readyTimeout, func() bool {
		c.submit(id)
		c.queryState(id)
		return len(f.checker.Unfinished()) == 0 && f.checker.wasAccepted(id)
	})
}

// await polls a condition until it holds or the timeout elapses.
func (f *Fleet) await(timeout time.Duration, condition func() bool) error {
	const interval = 100 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if condition() {
			return nil
		}
		<-time.After(interval)
	}
	return fmt.Errorf("timed out after %v; unfinished: %v", timeout, f.checker.Unfinished())
}

// awaitFinished waits until no accepted job is unfinished, according to the answers to a caller.
func (f *Fleet) awaitFinished(c *Caller, timeout time.Duration) error {
	return f.await(timeout, func() bool { c.QueryUnfinished(); return len(f.checker.Unfinished()) == 0 })
}
