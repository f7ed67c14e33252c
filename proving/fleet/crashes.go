package fleet

import (
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// crashMarker is what callers write into the text of a job of which the first task of the first step crashes each worker that
// starts it.
const crashMarker = "crashes"

// crashesWorker reports whether a task of a job with such a text crashes each worker that starts it.
func crashesWorker(text string, id job.TaskID) bool {
	return id.Step == 0 && id.Index == 0 && strings.Contains(text, crashMarker)
}

// crashDelayOf returns how long such a task takes to crash its worker, which callers may write into its text as "after=300ms".
func crashDelayOf(text string) time.Duration { return parseDuration(text, "after=", defaultCrashDelay) }

const (
	// crashLimit is how many workers a task may crash before its starts are counted, mostAfter how many starts more there may be.
	crashLimit       = 3
	startsAfterLimit = 2
	// minLostRuns is how many workers must have crashed under a task before its job may be given up.
	minLostRuns = 2
)

// recordLostRun notes that a worker crashed while it ran a task.
func (c *Checker) recordLostRun(id job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task(id).lostRuns++
}

// recordCrash notes that a task recordCrash its worker.
func (c *Checker) recordCrash(id job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task(id).crashCount++
}

// checkCrashes judges a start by the workers that its task has crashed; c.mu is held.
func (c *Checker) checkCrashes(id job.TaskID, h *taskRecord) {
	if h.crashCount < crashLimit {
		return
	}
	h.startsAfterCrashes++
	if h.startsAfterCrashes == startsAfterLimit+1 {
		c.recordViolation("%s was started %d times more after %d workers had crashed under it", id, h.startsAfterCrashes, crashLimit)
	}
}

// mayFail reports whether a job may be shown as failed: enough workers crashed under one of its tasks; c.mu is held.
func (c *Checker) mayFail(id job.ID, e *jobRecord) bool {
	for n, step := range e.spec.Steps {
		for i := range step.Count {
			if c.task(job.TaskID{Job: id, Step: n, Index: i}).lostRuns >= minLostRuns {
				return true
			}
		}
	}
	return false
}

// crashesWorkers reports whether a job has a task that crashesWorkers its workers.
func (e *jobRecord) crashesWorkers() bool { return strings.Contains(e.spec.Text, crashMarker) }

// GivenUp returns how many jobs were given up that crash their workers, and how many that do not.
func (c *Checker) GivenUp() (crashing, others int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.jobs {
		switch {
		case e.lastState != job.Failed:
		case e.crashesWorkers():
			crashing++
		default:
			others++
		}
	}
	return crashing, others
}

// crashAgentsWithWorkers lets every other worker that is crashed by a task take its agent along.
func (f *Fleet) crashAgentsWithWorkers() {
	var crashes atomic.Int64
	for n, w := range f.workers {
		w.OnCrash(func() {
			if crashes.Add(1)%2 == 0 {
				f.agent(n).Signal(syscall.SIGKILL)
			}
		})
	}
}

// CrashCount returns how many workers were crashed by tasks.
func (c *Checker) CrashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, h := range c.tasks {
		total += h.crashCount
	}
	return total
}
