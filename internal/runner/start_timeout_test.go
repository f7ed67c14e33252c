package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// unreliableWorker leaves every n-th start without an answer, and records when each task was accepted.
type unreliableWorker struct {
	fakeWorker
	loseEvery  int
	startCount int
	accepted   map[job.TaskID]time.Time
}

// Start implements host.Worker.
func (w *unreliableWorker) Start(ctx context.Context, _ incarnation.ID, order host.Start) (host.Refusal, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startCount++
	if w.startCount%w.loseEvery == 0 {
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return host.RefusedInvalid, fault.New(fault.OutcomeUnknown, "no answer")
	}
	if _, known := w.accepted[order.Run.Task]; !known {
		w.accepted[order.Run.Task] = time.Now()
	}
	return host.Accepted, nil
}

// TestUnansweredStartsAreRetriedSoon runs jobs of sixteen tasks on a worker that leaves one start in twenty without an answer: a job takes as long as
// its slowest task. With a fixed timeout of 600 ms, 33 of the 640 tasks began 680 ms late.
func TestUnansweredStartsAreRetriedSoon(t *testing.T) {
	const jobs, tasks, maxDelay = 40, 16, 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		worker := &unreliableWorker{loseEvery: 20, accepted: make(map[job.TaskID]time.Time)}
		r := newTest(&worker.fakeWorker)
		r.config.Worker = worker
		// This worker lists no ended runs, so all tasks count as running.
		r.worker.report.Capacity = job.Size{CPU: jobs * tasks * 1000}
		lateStarts := 0
		for n := range jobs {
			r.mu.Lock()
			r.agentLeaseEnd, r.hall.confirmedAt = r.config.Uptime.Now().Add(5*time.Second), r.config.Uptime.Now()
			r.mu.Unlock()
			sentAt := time.Now()
			id := job.ID([]byte{'a' + byte(n/26), 'a' + byte(n%26)})
			orders := link.Orders{Epoch: 3, Instance: "i-1"}
			for i := range tasks {
				run := link.NewRun(job.TaskID{Job: id + "00000000000000", Index: i}, 1)
				orders.Starts = append(orders.Starts, link.Start{Profile: link.Profile{Run: run, CPU: 1000}})
			}
			_, err := r.handleOrders(t.Context(), nil, orders)
			assert.NilError(t, err)
			time.Sleep(2 * time.Second)
			for i := range tasks {
				acceptedAt, started := worker.accepted[job.TaskID{Job: id + "00000000000000", Index: i}]
				assert.Assert(t, started)
				if acceptedAt.Sub(sentAt) > maxDelay {
					lateStarts++
				}
			}
		}
		assert.Equal(t, lateStarts, 0)
	})
}
