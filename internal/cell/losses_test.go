package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// mostRuns bounds how often a task may start that takes its VM along each time.
const mostRuns = 5

// loseRuns places a task and loses its VM so many times, with the document through the store each time, and returns how many times it was
// placed.
func loseRuns(t *testing.T, d *Document, id task.ID, times int) (*Document, int) {
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

// TestTaskThatTakesItsVMsAlongIsGivenUp plays what operators saw: a job ran for ever, and one VM after the other was lost under it.
//
// Order of events: a task is placed, its VM goes down with it and is called gone, the task waits again and is placed on the next.
//
// Cause: the end of a VM was nobody's failure; the task was placed forty times of forty.
func TestTaskThatTakesItsVMsAlongIsGivenUp(t *testing.T) {
	d := New()
	d.Submit(NewJob("job", "mailing", "", 2, time.Unix(1, 0)))
	d, runs := loseRuns(t, d, task.NewID("job", 0), 40)
	assert.Equal(t, runs, mostRuns)
	j, _ := d.Job("job")
	assert.Equal(t, j.Failed(), 1)
	assert.Equal(t, j.State(), JobRunning)
	r, err := d.Assign(task.NewID("job", 1), "vm", size)
	assert.NilError(t, err)
	assert.Assert(t, d.Report(NewReport(r, task.Finished, ""), 3))
	j, _ = d.Job("job")
	assert.Equal(t, j.State(), JobFailed)
}

// TestTaskThatGotOnMayLoseItsVMsAnew: it was evicted with its progress from a VM that outlived it.
func TestTaskThatGotOnMayLoseItsVMsAnew(t *testing.T) {
	d, r := placed(t)
	d.LoseInstance("vm-1")
	d, runs := loseRuns(t, d, r.ID(), mostRuns-2)
	assert.Equal(t, runs, mostRuns-2)
	again, err := d.Assign(r.ID(), "vm-2", size)
	assert.NilError(t, err)
	assert.Assert(t, d.Report(NewReport(again, task.Checkpointed, "ref"), 3))
	_, runs = loseRuns(t, d, r.ID(), 40)
	assert.Equal(t, runs, mostRuns)
}

// TestReplicasAreNeverGivenUp, since a service is to run whatever happens to its VMs.
func TestReplicasAreNeverGivenUp(t *testing.T) {
	d := New()
	d.Scale("lookups", 1)
	d, runs := loseRuns(t, d, task.NewID("lookups", 0), 40)
	assert.Equal(t, runs, 40)
	replica, _ := d.Task(task.NewID("lookups", 0))
	assert.Equal(t, replica.Losses(), crash.Losses{}, "nothing is counted that nothing follows from")
}
