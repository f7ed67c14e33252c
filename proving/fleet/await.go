package fleet

import (
	"fmt"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// readyWithin bounds the start of a fleet.
const readyWithin = 30 * time.Second

// awaitReady waits until a job can be handed in and run.
func (f *Fleet) awaitReady() error {
	c := NewCaller(f, 0)
	id := c.submit(job.Spec{Text: "work=1ms", Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 100}, Estimate: time.Millisecond}}})
	return f.await(readyWithin, func() bool {
		c.send(id)
		c.ask(id)
		return len(f.books.Unfinished()) == 0 && f.books.wasAccepted(id)
	})
}

// await waits until something holds.
func (f *Fleet) await(within time.Duration, holds func() bool) error {
	const pause = 100 * time.Millisecond
	for deadline := time.Now().Add(within); time.Now().Before(deadline); {
		if holds() {
			return nil
		}
		<-time.After(pause)
	}
	return fmt.Errorf("not within %v; unfinished: %v", within, f.books.Unfinished())
}

// awaitFinished waits until a caller has seen all accepted jobs finished.
func (f *Fleet) awaitFinished(c *Caller, within time.Duration) error {
	return f.await(within, func() bool { c.AskAll(); return len(f.books.Unfinished()) == 0 })
}
