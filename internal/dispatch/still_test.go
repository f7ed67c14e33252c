package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
)

// TestTaskOfMinutesDoesNotStandStill failed with a task of ten minutes, whose progress changes every six seconds, that was
// stopped every 2.5 seconds.
func TestTaskOfMinutesDoesNotStandStill(t *testing.T) {
	long := &placed{step: &job.Step{Estimate: 10 * time.Minute}, committed: true, sent: time.Now(), moved: time.Now().Add(-6 * time.Second)}
	assert.Assert(t, !long.standsStill())
	long.moved = time.Now().Add(-31 * time.Second)
	assert.Assert(t, long.standsStill())
}

// TestThreeFiguresShowThatATaskStandsStill: one that shows no progress in three figures is started elsewhere sooner than one of
// which nothing is heard.
func TestThreeFiguresShowThatATaskStandsStill(t *testing.T) {
	seen := &placed{step: &job.Step{Estimate: time.Second}, committed: true, sent: time.Now()}
	seen.progress(0, 0)
	for range stuckFigures {
		seen.looked = time.Now().Add(-sampleEvery)
		seen.progress(0, pacing.Full)
	}
	seen.moved = time.Now().Add(-stuckSeen)
	assert.Assert(t, seen.standsStill())
	silent := &placed{step: seen.step, committed: true, sent: time.Now(), moved: seen.moved}
	assert.Assert(t, !silent.standsStill())
	silent.moved = time.Now().Add(-stuckAfter)
	assert.Assert(t, silent.standsStill())
	seen.progress(1, pacing.Full)
	assert.Assert(t, !seen.standsStill())
}
