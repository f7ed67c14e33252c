package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
)

// TestLongTaskWithSlowProgressIsNotStalled failed with a task of ten minutes, whose progress changes every six seconds, that was
// stopped every 2.5 seconds.
func TestLongTaskWithSlowProgressIsNotStalled(t *testing.T) {
	long := &placedRun{step: &job.Step{Estimate: 10 * time.Minute}, committed: true, startSentAt: time.Now(), progressedAt: time.Now().Add(-6 * time.Second)}
	assert.Assert(t, !long.stalled())
	long.progressedAt = time.Now().Add(-31 * time.Second)
	assert.Assert(t, long.stalled())
}

// TestThreeSamplesWithoutProgressShowAStall: one that shows no progress in three figures is started elsewhere sooner than one of
// which nothing is heard.
func TestThreeSamplesWithoutProgressShowAStall(t *testing.T) {
	seen := &placedRun{step: &job.Step{Estimate: time.Second}, committed: true, startSentAt: time.Now()}
	seen.updateProgress(0, 0)
	for range stallSamples {
		seen.stallSampledAt = time.Now().Add(-sampleInterval)
		seen.updateProgress(0, pacing.Full)
	}
	seen.progressedAt = time.Now().Add(-observedStallTimeout)
	assert.Assert(t, seen.stalled())
	silent := &placedRun{step: seen.step, committed: true, startSentAt: time.Now(), progressedAt: seen.progressedAt}
	assert.Assert(t, !silent.stalled())
	silent.progressedAt = time.Now().Add(-stallTimeout)
	assert.Assert(t, silent.stalled())
	seen.updateProgress(1, pacing.Full)
	assert.Assert(t, !seen.stalled())
}
