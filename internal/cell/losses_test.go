package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// maxStarts is how often a task may start whose VM is lost each time.
const maxStarts = 5

// loseRepeatedly places a task and loses its VM the given number of times, encoding and decoding the document each time, and returns how
// often the task was placed.
func loseRepeatedly(t *testing.T, d *Document, id task.ID, times int) (*Document, int) {
	t.Helper()
	for n := range times {
		vm := fmt.Sprintf("lost-%d", n)
		if _, err := d.Assign(id, vm, size); err != nil {
			return d, n
		}
		assert.Equal(t, len(d.LoseInstance(vm)), 1)
		value, err := Encode(d)
		assert.NilError(t, err)
		d, err = Decode(value)
		assert.NilError(t, err)
	}
	return d, times
}

// TestTaskWhoseVMsAreLostIsGivenUp guards against a job that ran forever while one VM after another was lost under it.
//
// Each time, the task is placed, takes its VM down, waits again once the VM is listed as gone, and is placed on the next VM. The loss of
// a VM was not counted against the task, which was placed 40 times out of 40.
func TestTaskWhoseVMsAreLostIsGivenUp(t *testing.T) {
	d := New()
	d.Submit(NewJob("job", "mailing", "", 2, time.Unix(1, 0)))
	d, runs := loseRepeatedly(t, d, task.NewID("job", 0), 40)
	assert.Equal(t, runs, maxStarts)
	j, _ := d.Job("job")
	assert.Equal(t, j.Failed(), 1)
	assert.Equal(t, j.State(), JobRunning)
	r, err := d.Assign(task.NewID("job", 1), "vm", size)
	assert.NilError(t, err)
	assert.Assert(t, d.Report(NewReport(r, task.Finished, ""), 3))
	j, _ = d.Job("job")
	assert.Equal(t, j.State(), JobFailed)
}

// TestCheckpointResetsLosses covers a task that was evicted with a checkpoint from a VM that survived the run.
func TestCheckpointResetsLosses(t *testing.T) {
	d, r := placedDocument(t)
	d.LoseInstance("vm-1")
	d, runs := loseRepeatedly(t, d, r.ID(), maxStarts-2)
	assert.Equal(t, runs, maxStarts-2)
	restarted, err := d.Assign(r.ID(), "vm-2", size)
	assert.NilError(t, err)
	assert.Assert(t, d.Report(NewReport(restarted, task.Checkpointed, "ref"), 3))
	_, runs = loseRepeatedly(t, d, r.ID(), 40)
	assert.Equal(t, runs, maxStarts)
}

// TestReplicasAreNeverGivenUp checks that lost VMs never end a replica, since a service must keep running.
func TestReplicasAreNeverGivenUp(t *testing.T) {
	d := New()
	d.Scale("lookups", 1)
	d, runs := loseRepeatedly(t, d, task.NewID("lookups", 0), 40)
	assert.Equal(t, runs, 40)
	replica, _ := d.Task(task.NewID("lookups", 0))
	assert.Equal(t, replica.Losses(), crash.Losses{}, "losses of replicas are not counted")
}
