package fleet

import (
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// crashing is what callers write into the text of a job of which the first task of the first step crashes each worker that
// starts it.
const crashing = "crashes"

// crashesWorker reports whether a task of a job with such a text crashes each worker that starts it.
func crashesWorker(text string, id job.TaskID) bool {
	return id.Step == 0 && id.Index == 0 && strings.Contains(text, crashing)
}

// crashAfterOf returns how long such a task takes to crash its worker, which callers may write into its text as "after=300ms".
func crashAfterOf(text string) time.Duration { return durationOf(text, "after=", crashAfter) }

const (
	// mostCrashes is how many workers a task may crash before its starts are counted, mostAfter how many starts more there may be.
	mostCrashes = 3
	mostAfter   = 2
	// leastLost is how many workers must have crashed under a task before its job may be given up.
	leastLost = 2
)

// lost notes that a worker crashed while it ran a task.
func (b *Books) lost(id job.TaskID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history(id).lost++
}

// crashed notes that a task crashed its worker.
func (b *Books) crashed(id job.TaskID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history(id).crashes++
}

// judgeCrashes judges a start by the workers that its task has crashed; b.mu is held.
func (b *Books) judgeCrashes(id job.TaskID, h *history) {
	if h.crashes < mostCrashes {
		return
	}
	h.after++
	if h.after == mostAfter+1 {
		b.fail("%s was started %d times more after %d workers had crashed under it", id, h.after, mostCrashes)
	}
}

// mayFail reports whether a job may be shown as failed: enough workers crashed under one of its tasks; b.mu is held.
func (b *Books) mayFail(id job.ID, e *entry) bool {
	for n, step := range e.spec.Steps {
		for i := range step.Count {
			if b.history(job.TaskID{Job: id, Step: n, Index: i}).lost >= leastLost {
				return true
			}
		}
	}
	return false
}

// crashes reports whether a job has a task that crashes its workers.
func (e *entry) crashes() bool { return strings.Contains(e.spec.Text, crashing) }

// GivenUp returns how many jobs were given up that crash their workers, and how many that do not.
func (b *Books) GivenUp() (rightly, wrongly int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.jobs {
		switch {
		case e.seen != job.Failed:
		case e.crashes():
			rightly++
		default:
			wrongly++
		}
	}
	return rightly, wrongly
}

// crashAgentsAlong lets every other worker that is crashed by a task take its agent along.
func (f *Fleet) crashAgentsAlong() {
	var crashes atomic.Int64
	for n, w := range f.workers {
		w.OnCrash(func() {
			if crashes.Add(1)%2 == 0 {
				f.agent(n).Signal(syscall.SIGKILL)
			}
		})
	}
}

// Crashes returns how many workers were crashed by tasks.
func (b *Books) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for _, h := range b.tasks {
		total += h.crashes
	}
	return total
}
