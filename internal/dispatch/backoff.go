package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// minRunTime is the run time from which an end causes no backoff.
	minRunTime = time.Second
	// minBackoff and maxBackoff bound the delay of a task whose runs end quickly; the platform allows six seconds.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff delays the restart of a task whose consecutive runs end quickly. A long-running task may fail without a limit, and
// without a delay each plan would restart it, so that its commits delay those of all other tasks.
type backoff struct {
	quickEnds int
	until     time.Time
}

// next returns the backoff after the end of a run; the first quick end causes no delay, since it may be chance.
func (b backoff) next(runTime time.Duration, now time.Time) backoff {
	if runTime >= minRunTime {
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

// backOffAfterEnd updates the backoff of a task after the end of a run, if nothing else limits the restarts of the task.
func (j *trackedJob) backOffAfterEnd(id job.TaskID, end job.End, placedAt time.Time) {
	step := &j.job.Spec().Steps[id.Step]
	now := time.Now()
	switch {
	case step.Gang && end == job.EndGangIncomplete:
		j.backoffs[id] = j.backoffs[id].next(0, now)
	case step.LongRunning && (end == job.EndFailed || end == job.EndDone):
		j.backoffs[id] = j.backoffs[id].next(now.Sub(placedAt), now)
	}
}

// backOffAfterRefusal updates the backoff of a task after a worker refused its start as invalid, as other workers may too.
func (j *trackedJob) backOffAfterRefusal(id job.TaskID, reason host.Refusal) {
	if reason == host.RefusedInvalid {
		j.backoffs[id] = j.backoffs[id].next(0, time.Now())
	}
}

// readyTasks returns the waiting tasks of a step that have no backoff; a gang is ready once all of its waiting members are.
func (j *trackedJob) readyTasks(id job.TaskID, waiting []int, now time.Time) []int {
	if len(j.backoffs) == 0 {
		return waiting
	}
	var ready []int
	for _, id.Index = range waiting {
		if !now.Before(j.backoffs[id].until) {
			ready = append(ready, id.Index)
		}
	}
	if j.job.Spec().Steps[id.Step].Gang && len(ready) < len(waiting) {
		return nil
	}
	return ready
}
