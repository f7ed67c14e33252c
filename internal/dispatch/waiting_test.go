package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestJobWhoseStartsAreRefusedWaits guards against a queue that is shown without waiting jobs although a worker has refused each start of its only job,
// also by the next leader.
func TestJobWhoseStartsAreRefusedWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := termWithStartTime(t, store, a)
		for run := 1; run <= 3; run++ {
			assert.Equal(t, testTask(leader).Phase(), job.Placed)
			assert.Equal(t, leader.waitingJobs(""), 1, "run %d is placed", run)
			refused := reportWithStartTime(1)
			refused.Rejected = []link.Rejected{{Run: link.NewRun(job.TaskID{Job: testJob}, run), Refusal: int(host.RefusedBusy)}}
			reportAndRun(t, leader, a, refused)
			assert.Equal(t, leader.waitingJobs(""), 1, "run %d was refused", run)
			time.Sleep(maxPlanInterval)
			assert.NilError(t, leader.closures.Load(t.Context()))
			runCycle(t, leader)
		}
		leader = takeOverFrom(t, store, "f")
		assert.Equal(t, leader.waitingJobs(""), 1)
		started := reportWithStartTime(1)
		started.Running = []link.Running{{Run: link.NewRun(job.TaskID{Job: testJob}, testTask(leader).Run()), Percent: 1}}
		reportAndRun(t, leader, a, started)
		assert.Equal(t, leader.waitingJobs(""), 0)
	})
}
