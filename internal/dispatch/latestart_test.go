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

// runCycle runs a cycle of a leader and waits until its orders have arrived, since they are sent by other goroutines and those of a later cycle
// would write to the same agent.
func runCycle(t *testing.T, leader *term) {
	t.Helper()
	assert.NilError(t, cycle(t.Context(), leader))
	synctest.Wait()
}

// cancelJob cancels the job of a test and lets the leader read the cancellation.
func cancelJob(t *testing.T, store *kvtest.Store, leader *term) {
	t.Helper()
	_, err := store.Commit(context.Background(), kv.Txn{Puts: []kv.Put{{Key: record.CancelKey(testJob), Value: []byte{1}}}})
	assert.NilError(t, err)
	_, err = leader.inputsFollower().Next(t.Context(), 0)
	assert.NilError(t, err)
	runCycle(t, leader)
}

// runningReport returns a report with the first run of the job's task as running.
func runningReport() link.Report {
	r := testReport("i1")
	r.Running = []link.Running{{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Percent: 1}}
	return r
}

// stopsAfterReport sends a report to a leader and returns the stops that the leader orders in response.
func stopsAfterReport(t *testing.T, leader *term, a *fakeAgent, r link.Report) []link.Run {
	t.Helper()
	a.pendingOrders = nil
	_, err := leader.report(fakeSession{a}, r)
	assert.NilError(t, err)
	runCycle(t, leader)
	var stops []link.Run
	for _, orders := range a.pendingOrders {
		stops = append(stops, orders.Stops...)
	}
	return stops
}

// termWithPlacedTask returns a leader with a task that is ordered to an agent.
func termWithPlacedTask(t *testing.T, store *kvtest.Store, a *fakeAgent) *term {
	t.Helper()
	leader := testTerm(t, store)
	_, err := leader.report(fakeSession{a}, testReport("i1"))
	assert.NilError(t, err)
	runCycle(t, leader)
	return leader
}

// TestLateStartOfCanceledJobIsStopped checks that a start carried out after its job was canceled is stopped again with each report that has it.
func TestLateStartOfCanceledJobIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, store, a)
		cancelJob(t, store, leader)
		rejected := testReport("i1")
		rejected.Rejected = []link.Rejected{{Run: link.NewRun(job.TaskID{Job: testJob}, 1), Refusal: 2}}
		_, err := leader.report(fakeSession{a}, rejected)
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		for range 3 {
			stops := stopsAfterReport(t, leader, a, runningReport())
			assert.DeepEqual(t, stops, []link.Run{link.NewRun(job.TaskID{Job: testJob}, 1)})
			time.Sleep(resendAfter)
		}
	})
}

// TestTaskOfCanceledJobIsStoppedByNextLeader checks that the next leader stops a task that the previous leader started.
func TestTaskOfCanceledJobIsStoppedByNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		termWithPlacedTask(t, store, a)
		store.RemoveLeasedKeys()
		next := testTerm(t, store)
		cancelJob(t, store, next)
		next.dispatcher.config.Process = "f"
		r := runningReport()
		r.Epoch = next.epoch
		stops := stopsAfterReport(t, next, a, r)
		assert.DeepEqual(t, stops, []link.Run{link.NewRun(job.TaskID{Job: testJob}, 1)})
	})
}

// silentSession is a session that acknowledges nothing.
type silentSession struct{ fakeSession }

func (silentSession) send(link.Orders) error { return fault.New(fault.OutcomeUnknown, "no answer") }

// TestUnacknowledgedOrdersAreResentAfterNextReport guards against orders that are sent again only resendAfter later.
func TestUnacknowledgedOrdersAreResentAfterNextReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader, a := testTerm(t, kvtest.New()), &fakeAgent{vm: "vm"}
		_, err := leader.report(silentSession{fakeSession{a}}, testReport("i1"))
		assert.NilError(t, err)
		runCycle(t, leader)
		assert.Equal(t, len(a.pendingOrders), 0)
		_, err = leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		runCycle(t, leader)
		assert.Equal(t, len(a.pendingOrders), 1)
		assert.Equal(t, len(a.pendingOrders[0].Starts), 1)
	})
}

// TestRunMissingFromCutOffEndsIsNotOrderedAgain guards against starts that are ordered again although the run has ended, since the worker lists only a
// part of its ended runs at once.
func TestRunMissingFromCutOffEndsIsNotOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, kvtest.New(), a)
		a.pendingOrders = nil
		time.Sleep(2 * resendAfter)
		cutOff := testReport("i1")
		cutOff.MoreEnds = true
		_, err := leader.report(fakeSession{a}, cutOff)
		assert.NilError(t, err)
		runCycle(t, leader)
		assert.Equal(t, len(a.pendingOrders), 0)
		_, err = leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		runCycle(t, leader)
		assert.Equal(t, len(a.pendingOrders), 1, "a complete report shows that the start was lost")
	})
}
