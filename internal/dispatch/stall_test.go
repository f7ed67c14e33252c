package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
)

// TestLongTaskWithSlowProgressIsNotStalled guards against a task of ten minutes that is stopped every 2.5 seconds, since its
// progress changes only every six seconds.
func TestLongTaskWithSlowProgressIsNotStalled(t *testing.T) {
	long := &placedRun{step: &job.Step{Estimate: 10 * time.Minute}, committed: true, startSentAt: time.Now(), progressedAt: time.Now().Add(-6 * time.Second)}
	assert.Assert(t, !long.stalled())
	long.progressedAt = time.Now().Add(-31 * time.Second)
	assert.Assert(t, long.stalled())
}

// TestThreeSamplesWithoutProgressShowAStall checks that a task without progress in three samples is restarted elsewhere
// sooner than a task without reports.
func TestThreeSamplesWithoutProgressShowAStall(t *testing.T) {
	sampled := &placedRun{step: &job.Step{Estimate: time.Second}, committed: true, startSentAt: time.Now()}
	sampled.updateProgress(0, 0)
	for range stallSamples {
		sampled.stallSampledAt = time.Now().Add(-sampleInterval)
		sampled.updateProgress(0, pacing.Full)
	}
	sampled.progressedAt = time.Now().Add(-observedStallTimeout)
	assert.Assert(t, sampled.stalled())
	unreported := &placedRun{step: sampled.step, committed: true, startSentAt: time.Now(), progressedAt: sampled.progressedAt}
	assert.Assert(t, !unreported.stalled())
	unreported.progressedAt = time.Now().Add(-stallTimeout)
	assert.Assert(t, unreported.stalled())
	sampled.updateProgress(1, pacing.Full)
	assert.Assert(t, !sampled.stalled())
}
