package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// startLoops runs the loops that renew the lease and verify candidates until the test ends.
func startLoops(t *testing.T, r *Runner) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = r.renewLoop(ctx) }()
	go func() { _ = r.verifyCandidates(ctx) }()
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
}

// TestDelayedReportDoesNotRestorePreviousIncarnation guards against i-1 in place of i-2: the incarnation that reported last became the current one.
func TestDelayedReportDoesNotRestorePreviousIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{current: testID}
		r := newTest(worker)
		startLoops(t, r)
		worker.restart(incarnation.New("i-2", 0))
		r.Reported(host.Report{Incarnation: incarnation.New("i-2", 0), Sequence: 1})
		time.Sleep(time.Second)
		report, _ := r.compose()
		assert.Equal(t, report.Instance, "i-2")
		assert.Assert(t, r.Reported(host.Report{Incarnation: testID, Sequence: 9}), "the report is acknowledged so that it is not sent again")
		time.Sleep(time.Second)
		report, _ = r.compose()
		assert.Equal(t, report.Instance, "i-2")
		assert.Assert(t, !report.Unreachable)
	})
}

// TestReportOfUnknownIncarnationIsVerified guards against the same for a delayed report of an incarnation that the agent has no record of, since the
// agent started after its crash.
func TestReportOfUnknownIncarnationIsVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{current: testID}
		r := newTest(worker)
		startLoops(t, r)
		r.Reported(host.Report{Incarnation: incarnation.New("i-0", 0), Sequence: 9})
		time.Sleep(time.Second)
		report, _ := r.compose()
		assert.Equal(t, report.Instance, "i-1")
		assert.Assert(t, r.ended.has(incarnation.New("i-0", 0)))
	})
}

// TestFirstReportMayBeOfEndedIncarnation guards against keeping an ended incarnation: the current one replaces it with its first report.
func TestFirstReportMayBeOfEndedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{current: incarnation.New("i-2", 0)}
		r := newTest(worker)
		startLoops(t, r)
		time.Sleep(time.Second)
		report, _ := r.compose()
		assert.Assert(t, report.LeaseExpired, "the runs of an ended incarnation are lost")
		r.Reported(host.Report{Incarnation: incarnation.New("i-2", 0), Sequence: 1})
		time.Sleep(time.Second)
		report, _ = r.compose()
		assert.Equal(t, report.Instance, "i-2")
		assert.Assert(t, !report.LeaseExpired)
	})
}

func TestEndedIncarnationsAreBounded(t *testing.T) {
	var ended endedIncarnations
	for range 3 * maxEnded {
		ended.add(testID)
	}
	assert.Equal(t, len(ended), maxEnded)
}

// TestNewFenceIsSentDuringAWaitingRenewal guards against reports that a new leader cannot use for up to half a second.
func TestNewFenceIsSentDuringAWaitingRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{current: testID})
		startLoops(t, r)
		time.Sleep(renewalWait / 4)
		assert.NilError(t, r.adoptLeader(nil, record.Leader{Epoch: 4}))
		assert.Assert(t, r.fences.grant(4, 0, 0))
		report, _ := r.compose()
		assert.Assert(t, !report.Fenced)
		r.sendFence(t.Context())
		report, _ = r.compose()
		assert.Assert(t, report.Fenced)
	})
}

// TestOutdatedViewIsIgnored guards against reporting the runs of an older view that arrives later.
func TestOutdatedViewIsIgnored(t *testing.T) {
	r := newTest(&fakeWorker{})
	newer := host.View{Clock: host.Clock(2 * time.Second), Running: []host.Running{{Run: testRun(2)}}}
	r.recordRenewal(t.Context(), testID, host.Renewal{}, newer)
	r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Clock: host.Clock(time.Second), Running: []host.Running{{Run: testRun(1)}}})
	report, _ := r.compose()
	assert.Equal(t, len(report.Running), 1)
	assert.Equal(t, report.Running[0].Number, 2)
}

// TestUnknownSendersDoNotDelayNextIncarnation guards against a single slot for candidates: each report of another incarnation replaced the real
// candidate before the worker was asked, so it was resolved only if no other sender reported meanwhile.
func TestUnknownSendersDoNotDelayNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := &fakeWorker{current: testID, refusalDelay: 20 * time.Millisecond}
		r := newTest(worker)
		startLoops(t, r)
		worker.restart(incarnation.New("i-2", 0))
		for n := range 200 {
			if n%100 == 50 {
				r.Reported(host.Report{Incarnation: incarnation.New("i-2", 0), Service: "s", Sequence: uint64(n)})
			}
			r.Reported(host.Report{Incarnation: incarnation.New(fmt.Sprintf("stranger-%d", n%7), 0), Service: "other", Sequence: uint64(n)})
			time.Sleep(10 * time.Millisecond)
		}
		report, _ := r.compose()
		assert.Equal(t, report.Instance, "i-2")
		assert.Assert(t, !report.Unreachable)
	})
}

// TestReportOfAnotherServiceIsIgnored checks that such a report changes nothing of the incarnation that it names, and is not acknowledged.
func TestReportOfAnotherServiceIsIgnored(t *testing.T) {
	r := newTest(&fakeWorker{})
	before := r.worker.report
	assert.Assert(t, !r.Reported(host.Report{Incarnation: testID, Service: "other", Sequence: 9, Draining: true}))
	assert.DeepEqual(t, r.worker.report, before, sameIncarnation)
	assert.Assert(t, r.Reported(host.Report{Incarnation: testID, Service: "s", Sequence: 2, Capacity: before.Capacity}))
}

// TestCandidatesAreBounded checks the bound; a candidate left out returns with its next report.
func TestCandidatesAreBounded(t *testing.T) {
	r := newTest(&fakeWorker{})
	for n := range 3 * maxCandidates {
		r.Reported(host.Report{Incarnation: incarnation.New(fmt.Sprint(n), 0), Service: "s"})
	}
	assert.Equal(t, len(r.candidates), maxCandidates)
}

// TestFirstReportOfUnknownServiceIsReplaced checks that the worker's own report replaces it once the leader reports that no configuration names its
// service. Nothing of it is kept: its sequence does not bound the worker's own, and its draining flag is dropped.
func TestFirstReportOfUnknownServiceIsReplaced(t *testing.T) {
	r := newTest(&fakeWorker{})
	r.worker = newWorkerState(host.Report{Incarnation: testID, Service: "other", Sequence: 4000, Draining: true}, time.Now())
	own := host.Report{Incarnation: testID, Service: "s", Sequence: 2, Capacity: job.Size{CPU: 8000, Memory: 16000}}
	assert.Assert(t, !r.Reported(own), "either report may be the worker's")
	r.worker.applyAnswer(link.Report{Service: "s"}, link.ReportAnswer{UnknownService: true})
	assert.Assert(t, !r.Reported(own), "the leader's answer is for another report")
	r.worker.applyAnswer(link.Report{Service: "other"}, link.ReportAnswer{UnknownService: true})
	assert.Assert(t, r.Reported(own))
	assert.DeepEqual(t, r.worker.report, own, sameIncarnation)
	assert.Assert(t, !r.Reported(host.Report{Incarnation: testID, Service: "other", Sequence: 4001}))
}

// TestRefusedCallDoesNotResolveCandidate guards against an agent that ignores its worker for a whole incarnation, so that a task neither runs nor ends.
//
// The next incarnation reports, and refuses the call that verifies it, since another call has sent a higher fence meanwhile or since it is still
// starting. The refusal counted as the answer of another incarnation, and the candidate as ended: the agent logged that it ignored the report of
// another incarnation, though that was running, and then all its reports as those of an ended incarnation.
func TestRefusedCallDoesNotResolveCandidate(t *testing.T) {
	for _, refusal := range []host.Refusal{host.RefusedFence, host.RefusedBusy} {
		t.Run(refusal.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{current: secondIncarnation, refusals: []host.Refusal{refusal, refusal}}
				r := newTest(worker)
				r.worker = newWorkerState(reportFrom(firstIncarnation, 1), time.Now())
				r.Reported(reportFrom(secondIncarnation, 1))
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = r.verifyCandidates(ctx) }()
				time.Sleep(time.Second)
				assert.Equal(t, r.worker.id, secondIncarnation)
				cancel()
				synctest.Wait()
			})
		})
	}
}
