package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// TestCheckpointsSurviveALeaderChange guards against tasks that lose all progress when all VMs are lost at once: a checkpoint
// was stored only with the next start or end of a task of the same job.
func TestCheckpointsSurviveALeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		term := testTerm(t, store)
		step := job.Step{Count: 1, Size: job.Size{CPU: 1000}, BestEffort: true, Checkpoints: true, Image: "mail", Estimate: time.Minute}
		host := term.addWorker("vm")
		slow := term.addTestJob(1, step)
		task := job.TaskID{Job: slow.job.ID()}
		report := link.Report{VM: "vm", Epoch: term.epoch, Instance: "vm", Service: testService, CPU: 32000, Memory: 128000, Fenced: true}
		term.addRun(slow, 0, host)
		report.Running = []link.Running{{Run: link.NewRun(task, 1), Percent: 20, Pace: 100, Checkpoint: "a fifth"}}
		_, err := term.report(fakeSession{}, report)
		assert.NilError(t, err)
		time.Sleep(2 * checkpointInterval)
		term.markDirty(term.addTestJob(2, step))
		assert.NilError(t, cycle(context.Background(), term))

		restored := job.New(slow.job.ID(), *slow.job.Spec(), slow.job.Queue(), time.Now())
		item, err := store.Get(context.Background(), record.ProgressKey(slow.job.ID()))
		assert.NilError(t, err)
		assert.NilError(t, restored.ApplyProgress(item.Value()))
		assert.Equal(t, restored.Task(task).Checkpoint(), "a fifth")
	})
}
