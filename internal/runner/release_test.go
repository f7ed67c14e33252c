package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
)

// TestRestartedAgentReportsThatLeasesHaveExpired guards against runs that stay placed because the agent of a lost worker was restarted and knows no
// worker, and against a report of it while the previous process may still have given a lease.
func TestRestartedAgentReportsThatLeasesHaveExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		r.worker, r.startedAt = nil, time.Now()
		time.Sleep(runLease)
		report, _ := r.compose()
		assert.Assert(t, !report.LeaseExpired)
		time.Sleep(time.Millisecond)
		report, _ = r.compose()
		assert.Assert(t, report.LeaseExpired)
	})
}

// TestNothingStartsOnceLeasesAreReportedAsExpired guards against a run that starts by an order that was on its way while the leader gave the run up
// and placed it elsewhere.
func TestNothingStartsOnceLeasesAreReportedAsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		r.recordFailedRenewal(testID, time.Now(), fault.New(fault.OutcomeUnknown, "no answer"))
		time.Sleep(runLease + time.Millisecond)
		r.recordFailedRenewal(testID, time.Now(), fault.New(fault.OutcomeUnknown, "no answer"))
		report, _ := r.compose()
		assert.Assert(t, report.LeaseExpired)
		r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: host.Clock(time.Minute)})
		r.extendAgentLease(r.config.Uptime.Now(), 5*time.Second)
		r.hall.confirmedAt = r.config.Uptime.Now()
		_, err := r.handleOrders(context.Background(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 0, "the worker answers again, but the leader does not know it yet")
		report, _ = r.compose()
		assert.Assert(t, !report.Unreachable)
		assert.Equal(t, len(report.Pending), 1, "its refusal is reported with a later view")
		next := startOrders()
		next.Starts[0].Number++
		_, err = r.handleOrders(context.Background(), nil, next)
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(worker.started()), 1)
	})
}
