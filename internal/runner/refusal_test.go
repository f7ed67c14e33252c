package runner

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/host"
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
