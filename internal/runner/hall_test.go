package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// TestNothingStartsInAClosedHall sends an order that was in progress when the hall was closed.
func TestNothingStartsInAClosedHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		r.hall.update(link.Hall{Closed: true, Revision: 9}, r.config.Uptime.Now())
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 0)

		reopened := startOrders()
		reopened.Starts[0].Number, reopened.Hall = 2, link.Hall{Revision: 10}
		_, err = r.handleOrders(context.Background(), nil, reopened)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 1, "the order reports that the hall is open again")
	})
}

// TestUnansweredStartIsWithdrawnWhenHallCloses closes the hall while a start is being retried.
func TestUnansweredStartIsWithdrawnWhenHallCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: noAnswer}
		r := newTest(worker)
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		r.mu.Lock()
		r.hall.update(link.Hall{Closed: true, Revision: 9}, r.config.Uptime.Now())
		r.mu.Unlock()
		time.Sleep(10 * orderRetryDelay)
		assert.Equal(t, len(worker.started()), 1)
		assert.Equal(t, len(worker.stopped()), 1, "it may have been carried out")
	})
}

// TestNothingStartsWhenHallStateIsStale sends an order delayed by a network partition, during which the hall may have been closed.
func TestNothingStartsWhenHallStateIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		time.Sleep(hall.StaleAfter(testClosureDelay) + time.Millisecond)
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 0)
	})
}

// TestOlderHallStateIsIgnored applies an answer that arrives after newer orders.
func TestOlderHallStateIsIgnored(t *testing.T) {
	var h hallState
	now := (&boottimetest.Clock{}).Now()
	h.update(link.Hall{Closed: true, Revision: 9}, now)
	h.update(link.Hall{Revision: 8}, now)
	assert.Assert(t, h.latest.Closed)
	h.update(link.Hall{Revision: 10}, now.Add(-time.Hour))
	assert.Assert(t, !h.latest.Closed)
	assert.Equal(t, h.confirmedAt, now)
}
