package runner

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// ordersOfSize returns orders to start the next runs of the test's task, each of a size.
func ordersOfSize(size job.Size, fills bool, numbers ...int) link.Orders {
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

// setCapacity lets the worker say that it has another room now.
func setCapacity(r *Runner, room job.Size) {
	next := r.worker.report
	next.Sequence++
	next.Capacity = room
	r.Reported(next)
}

// TestStartBeyondReducedCapacityIsRefused failed with all three starts on a worker that does not guard its room: the lead had
// planned them by the room that it was told of before.
func TestStartBeyondReducedCapacityIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		setCapacity(r, job.Size{CPU: 2500, Memory: 1000})
		_, err := r.handleOrders(t.Context(), nil, ordersOfSize(job.Size{CPU: 1000, Memory: 100}, false, 0, 1, 2))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 2)
		assert.DeepEqual(t, refusals(r), map[int]host.Refusal{2: host.RefusedCapacity})
	})
}

// TestStoppingRunStillTakesCapacity until the worker lists its end.
func TestStoppingRunStillTakesCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		size := job.Size{CPU: 3000, Memory: 100}
		_, err := r.handleOrders(t.Context(), nil, ordersOfSize(size, false, 0))
		assert.NilError(t, err)
		synctest.Wait()
		first := host.Run{Task: testTask, Number: 1}
		r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: 1, Running: []host.Running{{Run: first}}})
		_, err = r.handleOrders(t.Context(), nil, ordersOfSize(size, false, 1))
		assert.NilError(t, err)
		assert.DeepEqual(t, refusals(r), map[int]host.Refusal{1: host.RefusedCapacity})
		r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: 2, Ended: []host.EndedRun{{Run: first, Sequence: 1}}})
		_, err = r.handleOrders(t.Context(), nil, ordersOfSize(size, false, 2))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 2, "its end is listed")
	})
}

// TestBestEffortTaskReservesNoProcessors of a room that has shrunk, but memory.
func TestBestEffortTaskReservesNoProcessors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		setCapacity(r, job.Size{CPU: 100, Memory: 250})
		_, err := r.handleOrders(t.Context(), nil, ordersOfSize(job.Size{CPU: 3000, Memory: 100}, true, 0, 1, 2))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 2)
		assert.DeepEqual(t, refusals(r), map[int]host.Refusal{2: host.RefusedCapacity})
	})
}

// TestCapacityChangeIsReportedAtOnce: the lead hears of it with the next report, which does not wait.
func TestCapacityChangeIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		for _, room := range []job.Size{{CPU: 1000, Memory: 100}, {CPU: 4000, Memory: 1000}} {
			for len(r.reportDue) > 0 {
				<-r.reportDue
			}
			setCapacity(r, room)
			assert.Equal(t, len(r.reportDue), 1)
			report, _ := r.compose()
			assert.Equal(t, report.CPU, room.CPU)
		}
	})
}
