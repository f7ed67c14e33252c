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

const testJob job.ID = "00000000000000aa"

// runCycle is a turn of a lead, until its orders have arrived: they go out beside it, and a later turn would write to the same agent.
func runCycle(t *testing.T, lead *term) {
	t.Helper()
	assert.NilError(t, cycle(t.Context(), lead))
	synctest.Wait()
}

// cancelJob cancels the job of a test and lets the lead hear of it.
func cancelJob(t *testing.T, store *kvtest.Store, lead *term) {
	t.Helper()
	_, err := store.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: record.CancelKey(testJob), Value: []byte{1}}}})
	assert.NilError(t, err)
	_, err = lead.inputsFollower().Next(t.Context(), 0)
	assert.NilError(t, err)
	runCycle(t, lead)
}

// runningReport shows the first run of the job's task at work.
func runningReport() link.Report {
	r := testReport("i1")
	r.Running = []link.Running{{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Percent: 1}}
	return r
}

// stopsAfterReport reports to a lead and returns the stops that it orders then.
func stopsAfterReport(t *testing.T, lead *term, a *fakeAgent, r link.Report) []link.Run {
	t.Helper()
	a.pendingOrders = nil
	_, err := lead.report(fakeSession{a}, r)
	assert.NilError(t, err)
	runCycle(t, lead)
	var stops []link.Run
	for _, orders := range a.pendingOrders {
		stops = append(stops, orders.Stops...)
	}
	return stops
}

// termWithPlacedTask returns a lead with a task that is ordered to an agent.
func termWithPlacedTask(t *testing.T, store *kvtest.Store, a *fakeAgent) *term {
	t.Helper()
	lead := testTerm(t, store)
	_, err := lead.report(fakeSession{a}, testReport("i1"))
	assert.NilError(t, err)
	runCycle(t, lead)
	return lead
}

// TestLateStartOfCanceledJobIsStopped, with each report for as long as it runs on.
func TestLateStartOfCanceledJobIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		lead := termWithPlacedTask(t, store, a)
		cancelJob(t, store, lead)
		gone := testReport("i1")
		gone.Rejected = []link.Rejected{{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Refusal: 2}}
		_, err := lead.report(fakeSession{a}, gone)
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		for range 3 {
			stops := stopsAfterReport(t, lead, a, runningReport())
			assert.DeepEqual(t, stops, []link.Run{link.NewRun(job.TaskID{Job: testJob}, 1)})
			time.Sleep(resendAfter)
		}
	})
}

// TestTaskOfCanceledJobIsStoppedByNextLeader, where the lead that started it has been removed.
func TestTaskOfCanceledJobIsStoppedByNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		termWithPlacedTask(t, store, a)
		store.Revoke()
		next := testTerm(t, store)
		cancelJob(t, store, next)
		next.dispatcher.config.Node = "f"
		r := runningReport()
		r.Epoch = next.epoch
		stops := stopsAfterReport(t, next, a, r)
		assert.DeepEqual(t, stops, []link.Run{link.NewRun(job.TaskID{Job: testJob}, 1)})
	})
}

// silentSession is a session that acknowledges nothing.
type silentSession struct{ fakeSession }

func (silentSession) send(link.Orders) error { return fault.New(fault.OutcomeUnknown, "no answer") }

// TestUnacknowledgedOrdersAreResentAfterNextReport failed with no order for resendAfter.
func TestUnacknowledgedOrdersAreResentAfterNextReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lead, a := testTerm(t, kvtest.New()), &fakeAgent{vm: "vm"}
		_, err := lead.report(silentSession{fakeSession{a}}, testReport("i1"))
		assert.NilError(t, err)
		runCycle(t, lead)
		assert.Equal(t, len(a.pendingOrders), 0)
		_, err = lead.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		runCycle(t, lead)
		assert.Equal(t, len(a.pendingOrders), 1)
		assert.Equal(t, len(a.pendingOrders[0].Starts), 1)
	})
}
