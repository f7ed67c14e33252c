package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const lateJob job.ID = "00000000000000aa"

// work is a turn of a lead, until its orders have arrived: they go out beside it, and a later turn would write to the same agent.
func work(t *testing.T, lead *term) {
	t.Helper()
	assert.NilError(t, cycle(t.Context(), lead))
	synctest.Wait()
}

// cancelJob cancels the job of a test and lets the lead hear of it.
func cancelJob(t *testing.T, store *kvtest.Store, lead *term) {
	t.Helper()
	_, err := store.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: record.CancelKey(lateJob), Value: []byte{1}}}})
	assert.NilError(t, err)
	_, err = lead.inputsFollower().Next(t.Context(), 0)
	assert.NilError(t, err)
	work(t, lead)
}

// lateReport shows the first run of the job's task at work.
func lateReport() link.Report {
	r := reportOf("i1")
	r.Running = []link.Running{{Run: link.NewRun(job.TaskID{Job: lateJob}, 1), Percent: 1}}
	return r
}

// stopsAfter reports to a lead and returns the stops that it orders then.
func stopsAfter(t *testing.T, lead *term, a *fakeAgent, r link.Report) []link.Run {
	t.Helper()
	a.mail = nil
	_, err := lead.report(mailbox{a}, r)
	assert.NilError(t, err)
	work(t, lead)
	var stops []link.Run
	for _, orders := range a.mail {
		stops = append(stops, orders.Stops...)
	}
	return stops
}

// placedTerm returns a lead with a task that is ordered to an agent.
func placedTerm(t *testing.T, store *kvtest.Store, a *fakeAgent) *term {
	t.Helper()
	lead := testTerm(t, store)
	_, err := lead.report(mailbox{a}, reportOf("i1"))
	assert.NilError(t, err)
	work(t, lead)
	return lead
}

// TestTaskStartedLateAfterItsJobWasCanceledIsStopped, with each report for as long as it runs on.
func TestTaskStartedLateAfterItsJobWasCanceledIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		lead := placedTerm(t, store, a)
		cancelJob(t, store, lead)
		gone := reportOf("i1")
		gone.Rejected = []link.Rejected{{Run: link.NewRun(job.TaskID{Job: lateJob}, 1), Refusal: 2}}
		_, err := lead.report(mailbox{a}, gone)
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		for range 3 {
			stops := stopsAfter(t, lead, a, lateReport())
			assert.DeepEqual(t, stops, []link.Run{link.NewRun(job.TaskID{Job: lateJob}, 1)})
			time.Sleep(resendAfter)
		}
	})
}

// TestTaskOfACanceledJobIsStoppedByTheNextLead, where the lead that started it has been removed.
func TestTaskOfACanceledJobIsStoppedByTheNextLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		placedTerm(t, store, a)
		store.Revoke()
		next := testTerm(t, store)
		cancelJob(t, store, next)
		next.d.config.Node = "f"
		r := lateReport()
		r.Epoch = next.epoch
		stops := stopsAfter(t, next, a, r)
		assert.DeepEqual(t, stops, []link.Run{link.NewRun(job.TaskID{Job: lateJob}, 1)})
	})
}

// deaf is a session that acknowledges nothing.
type deaf struct{ mailbox }

func (deaf) send(link.Orders) error { return fault.New(fault.OutcomeUnknown, "no answer") }

// TestOrdersThatWereNotAcknowledgedAreGivenAgainWithTheNextReport failed with no order for resendAfter.
func TestOrdersThatWereNotAcknowledgedAreGivenAgainWithTheNextReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lead, a := testTerm(t, kvtest.New()), &fakeAgent{vm: "vm"}
		_, err := lead.report(deaf{mailbox{a}}, reportOf("i1"))
		assert.NilError(t, err)
		work(t, lead)
		assert.Equal(t, len(a.mail), 0)
		_, err = lead.report(mailbox{a}, reportOf("i1"))
		assert.NilError(t, err)
		work(t, lead)
		assert.Equal(t, len(a.mail), 1)
		assert.Equal(t, len(a.mail[0].Starts), 1)
	})
}
