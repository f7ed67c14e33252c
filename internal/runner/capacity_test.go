package runner

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// ordersOfSize returns orders to start the first run of several tasks, each of a size.
func ordersOfSize(size job.Size, bestEffort bool, indexes ...int) link.Orders {
	orders := link.Orders{Epoch: 3, Instance: "i-1"}
	for _, index := range indexes {
		id := testTask
		id.Index = index
		orders.Starts = append(orders.Starts, link.Start{Profile: link.Profile{
			Run: link.NewRun(id, 1), CPU: size.CPU, Memory: size.Memory, GPU: size.GPU, BestEffort: bestEffort,
		}})
	}
	return orders
}

// refusals returns the refusals of the agent by the index of the task.
func refusals(r *Runner) map[int]host.Refusal {
	refused := make(map[int]host.Refusal)
	for run, o := range r.worker.orders {
		if o.final {
			refused[run.Task.Index] = o.refused
		}
	}
	return refused
}

// setCapacity reports another capacity of the worker.
func setCapacity(r *Runner, capacity job.Size) {
	next := r.worker.report
	next.Sequence++
	next.Capacity = capacity
	r.Reported(next)
}

// TestStartBeyondReducedCapacityIsRefused guards against three starts on a worker that has capacity for two and does not check it: the leader had
// planned them by the capacity reported before.
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

// TestStoppingRunStillTakesCapacity checks that a run takes capacity until the worker lists its end.
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

// TestBestEffortTaskReservesNoProcessors checks starts on a worker of reduced capacity: best-effort tasks reserve only memory.
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

// TestCapacityChangeIsReportedAtOnce checks that the next report, with the new capacity, is sent without delay.
func TestCapacityChangeIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		for _, capacity := range []job.Size{{CPU: 1000, Memory: 100}, {CPU: 4000, Memory: 1000}} {
			for len(r.reportDue) > 0 {
				<-r.reportDue
			}
			setCapacity(r, capacity)
			assert.Equal(t, len(r.reportDue), 1)
			report, _ := r.compose()
			assert.Equal(t, report.CPU, capacity.CPU)
		}
	})
}
