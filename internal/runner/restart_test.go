package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
)

// TestRestartedAgentReportsNoExpiryBeforeLeaseOfPreviousProcess guards against a task that runs twice: an agent that was restarted and has extended no
// lease reports its silent worker's lease as expired, while the previous process has extended it for longer.
func TestRestartedAgentReportsNoExpiryBeforeLeaseOfPreviousProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		r.agentLeaseEnd = boottime.Instant(0)
		startedAt := time.Now()
		_, renewal, _ := r.nextRenewal()
		assert.Equal(t, renewal.Until, host.Clock(0))
		r.recordRenewal(context.Background(), testID, renewal, host.View{})
		for time.Since(startedAt) < runLease {
			r.recordFailedRenewal(testID, time.Now(), fault.New(fault.OutcomeUnknown, "no answer"))
			report, _ := r.compose()
			assert.Assert(t, report.Fenced)
			assert.Equal(t, report.Unreachable, time.Since(startedAt) > unreachableAfter)
			assert.Assert(t, !report.LeaseExpired, "after %v", time.Since(startedAt))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		report, _ := r.compose()
		assert.Assert(t, report.LeaseExpired)
	})
}

// TestAnswerWithoutLeaseDoesNotStopRuns guards against an agent that is restarted while no leader leads, takes the first answer, which grants no lease,
// for a lease that has just expired, and stops the runs that the previous process has left.
func TestAnswerWithoutLeaseDoesNotStopRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		r.agentLeaseEnd = boottime.Instant(0)
		r.extendAgentLease(r.config.Uptime.Now(), 0)
		time.Sleep(stopAfterExpiry)
		r.recordRenewal(context.Background(), testID, host.Renewal{}, host.View{Running: []host.Running{{Run: testRun(1)}}})
		_, _, _ = r.nextRenewal()
		synctest.Wait()
		assert.Equal(t, len(worker.stopped()), 0)
		r.extendAgentLease(r.config.Uptime.Now(), 5*time.Second)
		_, renewal, _ := r.nextRenewal()
		assert.Assert(t, renewal.Until > 0)
	})
}

// TestAnswerWithoutLeaseDoesNotDelayStops guards against runs that a resumed worker continues beside those that replace them, because reports whose
// answers grant no lease make an expired lease look as if it had expired later.
func TestAnswerWithoutLeaseDoesNotDelayStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{answerStart: accept}
		r := newTest(worker)
		time.Sleep(6 * time.Second)
		r.extendAgentLease(r.config.Uptime.Now(), 0)
		r.recordRenewal(context.Background(), testID, host.Renewal{}, host.View{Running: []host.Running{{Run: testRun(1)}}})
		_, _, _ = r.nextRenewal()
		synctest.Wait()
		assert.DeepEqual(t, worker.stopped(), []host.Run{testRun(1)})
	})
}
