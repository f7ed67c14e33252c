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

// TestBackoffGrowsWhileRunsEndQuickly checks that the delay doubles up to its maximum and that a longer run resets it.
func TestBackoffGrowsWhileRunsEndQuickly(t *testing.T) {
	now := time.Now()
	var b backoff
	for _, delay := range []time.Duration{0, minBackoff, 2 * minBackoff, 4 * minBackoff, 8 * minBackoff, 16 * minBackoff, maxBackoff, maxBackoff} {
		b = b.next(minRunTime-1, now)
		assert.Equal(t, b.until.Sub(now), delay)
	}
	assert.Equal(t, b.next(minRunTime, now), backoff{})
}

// startsPerMinute simulates a minute in which each run of one task ends at once, and returns the number of starts.
func startsPerMinute(t *testing.T, step job.Step, end func(*stormWorker, link.Run)) int {
	t.Helper()
	s := newCrashStorm(t, 1, 3)
	s.submitStep(step)
	starts := 0
	for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(stormReportInterval) {
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

// TestTaskThatEndsAtOnceIsRestartedWithBackoff guards against a service that cannot start and delays all other tasks, as
// operators saw: each run of a long-running task failed, or was refused as invalid, within milliseconds, and the next plan
// placed the task again, since nothing limits its failures. Without the backoff there were 1,199 starts in a minute, one
// per report; with it there are 34.
func TestTaskThatEndsAtOnceIsRestartedWithBackoff(t *testing.T) {
	longRunning := job.Step{Count: 1, Size: job.Size{CPU: 500, Memory: 100}, Estimate: time.Second, LongRunning: true}
	short := longRunning
	short.LongRunning = false
	for name, c := range map[string]struct {
		step job.Step
		end  func(*stormWorker, link.Run)
	}{
		"long-running, failed": {longRunning, func(w *stormWorker, run link.Run) {
			w.lastEnd++
			w.ended = append(w.ended, link.Ended{Run: run, Sequence: w.lastEnd, End: int(job.EndFailed)})
		}},
		"short, refused as invalid": {short, func(w *stormWorker, run link.Run) {
			w.rejected = append(w.rejected, link.Rejected{Run: run, Refusal: int(host.RefusedInvalid)})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				starts := startsPerMinute(t, c.step, c.end)
				t.Logf("%d starts in a minute", starts)
				// Six starts while the delay grows, then one per maxBackoff; the least is one per six seconds.
				maxStarts := 6 + int(time.Minute/maxBackoff)
				assert.Assert(t, starts <= maxStarts, "%d starts in a minute", starts)
				assert.Assert(t, starts >= int(time.Minute/(6*time.Second)), "%d starts in a minute", starts)
			})
		})
	}
}
