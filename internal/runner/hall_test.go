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

// TestNothingStartsInAClosedHall is an order that was under way as the hall was closed.
func TestNothingStartsInAClosedHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		r.hall.update(link.Hall{Closed: true, Revision: 9}, r.config.Uptime.Now())
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 0)

		later := startOrders()
		later.Starts[0].Number, later.Hall = 2, link.Hall{Revision: 10}
		_, err = r.handleOrders(context.Background(), nil, later)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 1, "the order says that the hall is open again")
	})
}

// TestUnansweredStartIsWithdrawnWhenHallCloses is a start that is repeated while the hall is closed.
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
		assert.Equal(t, len(worker.stopped()), 1, "it may have been done")
	})
}

// TestNothingStartsWhenHallStateIsStale is an order that a cut held up: meanwhile the hall may have been closed.
func TestNothingStartsWhenHallStateIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		time.Sleep(hall.StaleAfter(testClosedWithin) + time.Millisecond)
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 0)
	})
}

// TestOlderHallStateIsIgnored is an answer that newer orders have overtaken.
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
