package runner

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// asking returns orders to start the next runs of the test's task, each of a size.
func asking(size job.Size, fills bool, numbers ...int) link.Orders {
	orders := link.Orders{Epoch: 3, Instance: "i-1"}
	for _, n := range numbers {
		id := testTask
		id.Index = n
		orders.Starts = append(orders.Starts, link.Start{Profile: link.Profile{
			Run: link.NewRun(id, 1), CPU: size.CPU, Memory: size.Memory, GPU: size.GPU, BestEffort: fills,
		}})
	}
	return orders
}

// refusals returns how each run that the agent refused was refused.
func refusals(r *Runner) map[int]host.Refusal {
	found := make(map[int]host.Refusal)
	for run, o := range r.worker.orders {
		if o.final {
			found[run.Task.Index] = o.refused
		}
	}
	return found
}

// shrink lets the worker say that it has another room now.
func shrink(r *Runner, room job.Size) {
	next := r.worker.report
	next.Sequence++
	next.Capacity = room
	r.Reported(next)
}

// TestStartBeyondARoomThatHasShrunkIsRefused failed with all three starts on a worker that does not guard its room: the lead had
// planned them by the room that it was told of before.
func TestStartBeyondARoomThatHasShrunkIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{start: accept}
		r := newTest(worker)
		shrink(r, job.Size{CPU: 2500, Memory: 1000})
		_, err := r.takeOrders(t.Context(), nil, asking(job.Size{CPU: 1000, Memory: 100}, false, 0, 1, 2))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 2)
		assert.DeepEqual(t, refusals(r), map[int]host.Refusal{2: host.RefusedCapacity})
	})
}

// TestWhatIsBeingStoppedStillTakesRoom until the worker lists its end.
func TestWhatIsBeingStoppedStillTakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{start: accept}
		r := newTest(worker)
		size := job.Size{CPU: 3000, Memory: 100}
		_, err := r.takeOrders(t.Context(), nil, asking(size, false, 0))
		assert.NilError(t, err)
		synctest.Wait()
		first := host.Run{Task: testTask, Number: 1}
		r.held(t.Context(), testID, host.Renewal{}, host.View{Clock: 1, Running: []host.Running{{Run: first}}})
		_, err = r.takeOrders(t.Context(), nil, asking(size, false, 1))
		assert.NilError(t, err)
		assert.DeepEqual(t, refusals(r), map[int]host.Refusal{1: host.RefusedCapacity})
		r.held(t.Context(), testID, host.Renewal{}, host.View{Clock: 2, Ended: []host.EndedRun{{Run: first, Sequence: 1}}})
		_, err = r.takeOrders(t.Context(), nil, asking(size, false, 2))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 2, "its end is listed")
	})
}

// TestWhatFillsTakesNoProcessors of a room that has shrunk, but memory.
func TestWhatFillsTakesNoProcessors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{start: accept}
		r := newTest(worker)
		shrink(r, job.Size{CPU: 100, Memory: 250})
		_, err := r.takeOrders(t.Context(), nil, asking(job.Size{CPU: 3000, Memory: 100}, true, 0, 1, 2))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 2)
		assert.DeepEqual(t, refusals(r), map[int]host.Refusal{2: host.RefusedCapacity})
	})
}

// TestRoomThatHasGrownAgainIsFilledAtOnce: the lead hears of it with the next report, which does not wait.
func TestRoomThatHasGrownAgainIsFilledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{start: accept})
		for _, room := range []job.Size{{CPU: 1000, Memory: 100}, {CPU: 4000, Memory: 1000}} {
			for len(r.changed) > 0 {
				<-r.changed
			}
			shrink(r, room)
			assert.Equal(t, len(r.changed), 1)
			report, _ := r.compose()
			assert.Equal(t, report.CPU, room.CPU)
		}
	})
}
