package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestBackoffGrowsWhileRunsEndQuickly, up to its bound, and is dropped by a run that lives.
func TestBackoffGrowsWhileRunsEndQuickly(t *testing.T) {
	now := time.Now()
	var b backoff
	for _, delay := range []time.Duration{0, leastDelay, 2 * leastDelay, 4 * leastDelay, 8 * leastDelay, 16 * leastDelay, mostDelay, mostDelay} {
		b = b.after(quickEnd-1, now)
		assert.Equal(t, b.until.Sub(now), delay)
	}
	assert.Equal(t, b.after(quickEnd, now), backoff{})
}

// startsIn plays a minute in which each run of one task ends at once, and returns how often it started.
func startsIn(t *testing.T, step job.Step, end func(*stormWorker, link.Run)) int {
	t.Helper()
	s := newStorm(t, 1, 3)
	s.handIn(step)
	starts := 0
	for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(stormStep) {
		assert.NilError(t, s.lead.closures.Load(t.Context()))
		for _, w := range s.workers {
			s.report(w)
			s.deliver(w)
			for run := range w.running {
				starts++
				delete(w.running, run)
				end(w, run)
			}
		}
	}
	return starts
}

// TestTaskThatEndsAtOnceIsStartedAgainEverMoreSeldom plays what operators saw: one service that could not start held all else up.
//
// Order of events: a run of a task that lasts ends as failed, or is refused for good, within milliseconds; the task waits, and the next plan
// places it again. Cause: nothing bounds how often what lasts may fail. Evidence: 1,199 starts in
// a minute, one with each report; 34 since.
func TestTaskThatEndsAtOnceIsStartedAgainEverMoreSeldom(t *testing.T) {
	lasting := job.Step{Count: 1, Size: job.Size{CPU: 500, Memory: 100}, Estimate: time.Second, Lasting: true}
	short := lasting
	short.Lasting = false
	for name, c := range map[string]struct {
		step job.Step
		end  func(*stormWorker, link.Run)
	}{
		"lasting, failed": {lasting, func(w *stormWorker, run link.Run) {
			w.last++
			w.ended = append(w.ended, link.Ended{Run: run, Sequence: w.last, End: int(job.EndFailed)})
		}},
		"short, refused for good": {short, func(w *stormWorker, run link.Run) {
			w.rejected = append(w.rejected, link.Rejected{Run: run, Refusal: int(host.RefusedWrong)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts := startsIn(t, c.step, c.end)
				t.Logf("%d starts in a minute", starts)
				// Six while the delay grows, then one in mostDelay; and it is started at all.
				most := 6 + int(time.Minute/mostDelay)
				assert.Assert(t, starts <= most, "%d starts in a minute", starts)
				assert.Assert(t, starts >= int(time.Minute/(6*time.Second)), "%d starts in a minute", starts)
			})
		})
	}
}
