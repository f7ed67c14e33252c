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
	for _, delay := range []time.Duration{0, minBackoff, 2 * minBackoff, 4 * minBackoff, 8 * minBackoff, 16 * minBackoff, maxBackoff, maxBackoff} {
		b = b.next(minRunTime-1, now)
		assert.Equal(t, b.until.Sub(now), delay)
	}
	assert.Equal(t, b.next(minRunTime, now), backoff{})
}

// startsPerMinute plays a minute in which each run of one task ends at once, and returns how often it started.
func startsPerMinute(t *testing.T, step job.Step, end func(*stormWorker, link.Run)) int {
	t.Helper()
	s := newCrashStorm(t, 1, 3)
	s.submitStep(step)
	starts := 0
	for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(stormReportInterval) {
		assert.NilError(t, s.leader.closures.Load(t.Context()))
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

// TestTaskThatEndsAtOnceIsRestartedWithBackoff plays what operators saw: one service that could not start held all else up.
//
// Order of events: a run of a task that lasts ends as failed, or is refused for good, within milliseconds; the task waits, and the next plan
// places it again. Cause: nothing bounds how often what lasts may fail. Evidence: 1,199 starts in
// a minute, one with each report; 34 since.
func TestTaskThatEndsAtOnceIsRestartedWithBackoff(t *testing.T) {
	lasting := job.Step{Count: 1, Size: job.Size{CPU: 500, Memory: 100}, Estimate: time.Second, LongRunning: true}
	short := lasting
	short.LongRunning = false
	for name, c := range map[string]struct {
		step job.Step
		end  func(*stormWorker, link.Run)
	}{
		"lasting, failed": {lasting, func(w *stormWorker, run link.Run) {
			w.lastEnd++
			w.ended = append(w.ended, link.Ended{Run: run, Sequence: w.lastEnd, End: int(job.EndFailed)})
		}},
		"short, refused for good": {short, func(w *stormWorker, run link.Run) {
			w.rejected = append(w.rejected, link.Rejected{Run: run, Refusal: int(host.RefusedInvalid)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts := startsPerMinute(t, c.step, c.end)
				t.Logf("%d starts in a minute", starts)
				// Six while the delay grows, then one in mostDelay; and it is started at all.
				most := 6 + int(time.Minute/maxBackoff)
				assert.Assert(t, starts <= most, "%d starts in a minute", starts)
				assert.Assert(t, starts >= int(time.Minute/(6*time.Second)), "%d starts in a minute", starts)
			})
		})
	}
}
