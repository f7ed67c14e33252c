package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// Answers of a worker to a start.
func rejectAsStale() (host.Refusal, error) {
	return host.RefusedInvalid, fault.New(fault.Stale, "another instance answers")
}

func refuseConnection() (host.Refusal, error) {
	return host.RefusedInvalid, fault.New(fault.Unavailable, "connection refused")
}

// TestUnansweredStartOfEarlierOrderRemainsPossibleCause checks that a start without an answer is not cleared by the rejection of the start that the
// next leader orders.
func TestUnansweredStartOfEarlierOrderRemainsPossibleCause(t *testing.T) {
	for name, answer := range map[string]func() (host.Refusal, error){"rejected": rejectAsStale, "not sent": refuseConnection} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{current: testID, answerStart: noAnswer}
				r := newTest(worker)
				startLoops(t, r)
				time.Sleep(time.Second)
				_, err := r.handleOrders(t.Context(), nil, startOrders())
				assert.NilError(t, err)
				synctest.Wait()
				assert.NilError(t, r.adoptLeader(nil, record.Leader{Epoch: 4}))
				worker.mu.Lock()
				worker.answerStart = answer
				worker.mu.Unlock()
				orders := startOrders()
				orders.Epoch = 4
				_, err = r.handleOrders(t.Context(), nil, orders)
				assert.NilError(t, err)
				synctest.Wait()
				assert.Equal(t, len(worker.started()), 2)
				restartUnderNewID(r, worker)
				crashes := reportedCrashes(r)
				assert.Equal(t, len(crashes), 1)
				assert.Equal(t, len(crashes[0].Runs), 1)
			})
		})
	}
}

// TestRejectionOfOneStartDoesNotDecideAnother checks two start calls of one run in progress at once, as after a change of the leader: the rejection
// of one shows nothing of the other.
func TestRejectionOfOneStartDoesNotDecideAnother(t *testing.T) {
	runs := make(runSet)
	run := testRun(1)
	runs.recordStart(run)
	runs.recordStart(run)
	runs.recordOutcome(run, startNotCarriedOut)
	assert.Assert(t, runs[run] != nil)
	runs.recordOutcome(run, startUnanswered)
	assert.Assert(t, runs[run] != nil)
}
