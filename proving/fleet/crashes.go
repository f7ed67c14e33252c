package fleet

import (
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// crashMarker marks the text of a job whose first task of the first step crashes each worker that starts it.
const crashMarker = "crashes"

// crashesWorker reports whether a task of a job with this text crashes each worker that starts it.
func crashesWorker(text string, id job.TaskID) bool {
	return id.Step == 0 && id.Index == 0 && strings.Contains(text, crashMarker)
}

// crashDelayOf returns the time from the start of a crashing task to the crash, which a job's text can set as "after=300ms".
func crashDelayOf(text string) time.Duration { return parseDuration(text, "after=", defaultCrashDelay) }

const (
	// crashLimit is how many workers a task may crash before its further starts are counted; startsAfterLimit bounds these
	// starts.
	crashLimit       = 3
	startsAfterLimit = 2
	// minLostRuns is how many workers must have crashed while they ran a task before its job may be given up.
	minLostRuns = 2
)

// recordLostRun records that a worker crashed while it ran a task.
func (c *Checker) recordLostRun(id job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task(id).lostRuns++
}

// recordCrash records that a task crashed its worker.
func (c *Checker) recordCrash(id job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task(id).crashCount++
}

// checkCrashes checks a start against the number of workers that the task has crashed; c.mu is held.
func (c *Checker) checkCrashes(id job.TaskID, t *taskRecord) {
	if t.crashCount < crashLimit {
		return
	}
	t.startsAfterCrashes++
	if t.startsAfterCrashes == startsAfterLimit+1 {
		c.recordViolation("%s was started %d more times after it had crashed %d workers", id, t.startsAfterCrashes, crashLimit)
	}
}

// mayFail reports whether a job may be shown as failed: enough workers crashed while they ran one of its tasks; c.mu is
// held.
func (c *Checker) mayFail(id job.ID, j *jobRecord) bool {
	for n, step := range j.spec.Steps {
		for i := range step.Count {
			if c.task(job.TaskID{Job: id, Step: n, Index: i}).lostRuns >= minLostRuns {
				return true
			}
		}
	}
	return false
}

// crashesWorkers reports whether a job has a task that crashes its workers.
func (j *jobRecord) crashesWorkers() bool { return strings.Contains(j.spec.Text, crashMarker) }

// GivenUp returns the number of failed jobs that crash their workers, and of failed jobs that do not.
func (c *Checker) GivenUp() (crashing, harmless int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.jobs {
		switch {
		case j.lastState != job.Failed:
		case j.crashesWorkers():
			crashing++
		default:
			harmless++
		}
	}
	return crashing, harmless
}

// crashAgentsWithWorkers kills the agent as well at every second crash of a worker by a task.
func (f *Fleet) crashAgentsWithWorkers() {
	var count atomic.Int64
	for n, w := range f.workers {
		w.OnCrash(func() {
			if count.Add(1)%2 == 0 {
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
	for _, t := range c.tasks {
		total += t.crashCount
	}
	return total
}
