package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// TestRepeatedStartOfRefusedRunIsRefusedAgain guards against a task that stays placed without a run because its agent ignores the start that the next
// leader repeats, and against a start of the run after its refusal, beside the run that has replaced it.
func TestRepeatedStartOfRefusedRunIsRefusedAgain(t *testing.T) {
	for name, nextLeader := range map[string]bool{"same leader, refusal reported": false, "next leader, refusal not reported": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				refusal := host.RefusedBusy
				worker := &fakeWorker{answerStart: func() (host.Refusal, error) { return refusal, nil }}
				r, orders := newTest(worker), startOrders()
				order := func() {
					_, err := r.handleOrders(context.Background(), nil, orders)
					assert.NilError(t, err)
					synctest.Wait()
				}
				twoViews := func() link.Report {
					r.recordRenewal(context.Background(), testID, host.Renewal{}, host.View{})
					r.recordRenewal(context.Background(), testID, host.Renewal{}, host.View{})
					report, _ := r.compose()
					return report
				}
				order()
				refusal = host.Accepted
				if nextLeader {
					assert.NilError(t, r.adoptLeader(nil, record.Leader{Epoch: 4}))
					orders.Epoch = 4
				} else {
					report := twoViews()
					assert.Equal(t, len(report.Rejected), 1)
					r.worker.applyAnswer(report, link.ReportAnswer{})
				}
				order()
				report, _ := r.compose()
				assert.Equal(t, len(report.Pending), 1, "the run may have an end that no view has listed yet")
				report = twoViews()
				assert.DeepEqual(t, report.Rejected, []link.Rejected{{Run: wireRun(testRun(1)), Refusal: int(host.RefusedLate)}})
				assert.Equal(t, len(worker.started()), 1)
			})
		})
	}
}

// TestRefusalIsReportedToTheNextLeader guards against a start that the agent refused for an earlier leader and then ignores for ever when the next
// one, which never learned of the refusal, orders it.
func TestRefusalIsReportedToTheNextLeader(t *testing.T) {
	for name, answered := range map[string]bool{"not reported to the earlier leader": false, "the earlier leader did not commit it": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := &fakeWorker{answerStart: noAnswer}
				r := newTest(worker)
				_, err := r.handleOrders(t.Context(), nil, startOrders())
				assert.NilError(t, err)
				time.Sleep(2 * time.Second)
				assert.DeepEqual(t, worker.stopped(), []host.Run{testRun(1)})
				view := func(fence uint64) {
					r.recordRenewal(context.Background(), testID, host.Renewal{Fence: fence}, host.View{})
				}
				if answered {
					view(3)
					view(3)
					report, w := r.compose()
					assert.Equal(t, len(report.Rejected), 1)
					w.applyAnswer(report, link.ReportAnswer{Epoch: 3})
				}
				assert.NilError(t, r.adoptLeader(nil, record.Leader{Epoch: 4}))
				r.fences.grant(4, 4, 4)
				view(4)
				next := startOrders()
				next.Epoch = 4
				_, err = r.handleOrders(t.Context(), nil, next)
				assert.NilError(t, err)
				report, _ := r.compose()
				assert.DeepEqual(t, report.Pending, []link.Run{wireRun(testRun(1))})
				view(4)
				view(4)
				report, _ = r.compose()
				assert.DeepEqual(t, report.Rejected, []link.Rejected{{Run: wireRun(testRun(1)), Refusal: int(host.RefusedLate)}})
				assert.Equal(t, len(worker.started()), maxStartAttempts, "the worker is not asked again")
			})
		})
	}
}

// TestRefusalAsOldIsUnsettledWhileEndsAreCutOff guards against a second start of a task that is done: its worker listed only a part of the ended runs, and
// the agent reported a repeated start, refused as old, as rejected since no view listed its end.
func TestRefusalAsOldIsUnsettledWhileEndsAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: func() (host.Refusal, error) { return host.RefusedOld, nil }})
		_, err := r.handleOrders(t.Context(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		other := host.EndedRun{Sequence: 1, Run: host.Run{Task: job.TaskID{Job: "00000000000000bb"}, Number: 1}}
		for range 2 * viewsAfterEvent {
			r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Ended: []host.EndedRun{other}, MoreEnds: true})
			report, _ := r.compose()
			assert.Assert(t, report.MoreEnds)
			assert.Equal(t, len(report.Pending), 1)
			assert.Equal(t, len(report.Rejected), 0)
		}
		done := host.EndedRun{Sequence: 2, Run: testRun(1), End: job.EndDone}
		for range 2 * viewsAfterEvent {
			r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{Ended: []host.EndedRun{done}})
			report, _ := r.compose()
			assert.Equal(t, len(report.Ended), 1)
			assert.Equal(t, len(report.Pending)+len(report.Rejected), 0)
		}
	})
}

// TestRunMissingFromCutOffEndsRemainsPossible guards against a crash report without a run whose end the worker had not listed yet: the leader took such
// a run for one that never started.
func TestRunMissingFromCutOffEndsRemainsPossible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTest(&fakeWorker{answerStart: accept})
		_, err := r.handleOrders(t.Context(), nil, startOrders())
		assert.NilError(t, err)
		synctest.Wait()
		time.Sleep(runLease)
		r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{MoreEnds: true})
		assert.DeepEqual(t, runNumbers(r.worker.possibleRuns), []int{1})
		r.recordRenewal(t.Context(), testID, host.Renewal{}, host.View{})
		assert.Equal(t, len(r.worker.possibleRuns), 0)
	})
}
