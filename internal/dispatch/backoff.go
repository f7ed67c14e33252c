package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// quickEnd is how long a run must live to be more than a failed attempt.
	quickEnd = time.Second
	// leastDelay and mostDelay bound how long a task waits that has ended quickly again; the platform allows six seconds.
	leastDelay = 100 * time.Millisecond
	mostDelay  = 2 * time.Second
)

// backoff holds a task back whose runs end quickly, one after the other: what lasts may fail without a bound, and would be started
// again with each plan, so that its commits hold those of all others up.
type backoff struct {
	quick int
	until time.Time
}

// after returns the backoff once a run has ended that lived for a time; the first that ends quickly may be chance.
func (b backoff) after(lived time.Duration, now time.Time) backoff {
	if lived >= quickEnd {
		return backoff{}
	}
	b.quick++
	delay := time.Duration(0)
	for n := 1; n < b.quick && delay < mostDelay; n++ {
		delay = max(leastDelay, 2*delay)
	}
	b.until = now.Add(min(delay, mostDelay))
	return b
}

// holdBack takes note that a run ended which began at a time, where nothing else bounds how often its task is started again.
func (k *tracked) holdBack(id job.TaskID, end job.End, began time.Time) {
	step := &k.job.Spec().Steps[id.Step]
	now := time.Now()
	switch {
	case step.Gang && end == job.EndAlone:
		k.backoffs[id] = k.backoffs[id].after(0, now)
	case step.Lasting && (end == job.EndFailed || end == job.EndDone):
		k.backoffs[id] = k.backoffs[id].after(now.Sub(began), now)
	}
}

// refused takes note that a worker refused a start for good, as any other may.
func (k *tracked) refused(id job.TaskID, why host.Refusal) {
	if why == host.RefusedWrong {
		k.backoffs[id] = k.backoffs[id].after(0, time.Now())
	}
}

// ready returns the waiting tasks of a step that are not held back; a gang is, while one of its members is.
func (k *tracked) ready(id job.TaskID, waiting []int, now time.Time) []int {
	if len(k.backoffs) == 0 {
		return waiting
	}
	var ready []int
	for _, id.Index = range waiting {
		if !now.Before(k.backoffs[id].until) {
			ready = append(ready, id.Index)
		}
	}
	if k.job.Spec().Steps[id.Step].Gang && len(ready) < len(waiting) {
		return nil
	}
	return ready
}
