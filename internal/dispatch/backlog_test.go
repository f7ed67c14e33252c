package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// TestBacklogRisesIfWaitingWorkExceedsItsObjective checks that a burst that finishes in time does not raise the level, since
// it would be no reason to slow serving tasks.
func TestBacklogRisesIfWaitingWorkExceedsItsObjective(t *testing.T) {
	spec := job.Spec{Steps: []job.Step{{Count: 1, BestEffort: true, Size: job.Size{CPU: 2000}, Estimate: 2 * time.Second}}}
	waitingJob := job.New("00000000000000aa", spec, job.Queue{Stretch: 5}, time.Unix(0, 0))
	waiting := func(tasks int) []*plan.Group {
		return []*plan.Group{{
			Job: waitingJob, Step: &spec.Steps[0], Indexes: make([]int, tasks), RunTime: spec.Steps[0].Estimate, Objective: waitingJob.Objective(),
		}, {Job: waitingJob, Step: &job.Step{}, Indexes: make([]int, 500)}}
	}
	const capacity, used = 200_000, 40_000
	var s batchBacklog
	now := time.Unix(0, 0)
	run := func(length time.Duration, tasks int) float64 {
		for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
			s.update(now, waiting(tasks), used, capacity)
		}
		return s.level
	}
	// 70 tasks are 280 core seconds, at 40 cores 7 of the 10 seconds that a job has.
	assert.Equal(t, run(20*time.Second, 70), 0.0)
	assert.Assert(t, run(time.Second, 200) < 0.3)
	assert.Assert(t, run(20*time.Second, 200) > 0.9)
	assert.Assert(t, run(20*time.Second, 0) < 0.1)
	s.update(now, waiting(200), 0, 0)
}
