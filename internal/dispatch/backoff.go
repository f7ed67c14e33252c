package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// minRunTime is how long a run must live to be more than a failed attempt.
	minRunTime = time.Second
	// minBackoff and mostDelay bound how long a task waits that has ended quickly again; the platform allows six seconds.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff holds a task back whose runs end quickly, one after the other: what lasts may fail without a bound, and would be started
// again with each plan, so that its commits hold those of all others up.
type backoff struct {
	quickEnds int
	until     time.Time
}

// next returns the backoff once a run has ended that lived for a time; the first that ends quickly may be chance.
func (b backoff) next(lived time.Duration, now time.Time) backoff {
	if lived >= minRunTime {
		return backoff{}
	}
	b.quickEnds++
	delay := time.Duration(0)
	for n := 1; n < b.quickEnds && delay < maxBackoff; n++ {
		delay = max(minBackoff, 2*delay)
	}
	b.until = now.Add(min(delay, maxBackoff))
	return b
}

// backOffAfterEnd takes note that a run ended which began at a time, where nothing else bounds how often its task is started again.
func (k *trackedJob) backOffAfterEnd(id job.TaskID, end job.End, began time.Time) {
	step := &k.job.Spec().Steps[id.Step]
	now := time.Now()
	switch {
	case step.Gang && end == job.EndGangIncomplete:
		k.backoffs[id] = k.backoffs[id].next(0, now)
	case step.LongRunning && (end == job.EndFailed || end == job.EndDone):
		k.backoffs[id] = k.backoffs[id].next(now.Sub(began), now)
	}
}

// backOffAfterRefusal takes note that a worker backOffAfterRefusal a start for good, as any other may.
func (k *trackedJob) backOffAfterRefusal(id job.TaskID, why host.Refusal) {
	if why == host.RefusedInvalid {
		k.backoffs[id] = k.backoffs[id].next(0, time.Now())
	}
}

// readyTasks returns the waiting tasks of a step that are not held back; a gang is, while one of its members is.
func (k *trackedJob) readyTasks(id job.TaskID, waiting []int, now time.Time) []int {
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
