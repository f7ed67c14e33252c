package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// closureTest is a leader with one job of one task and an agent in each of two halls.
type closureTest struct {
	t            *testing.T
	store        *kvtest.Store
	term         *term
	north, south *fakeAgent
}

func newClosureTest(t *testing.T) *closureTest {
	store := kvtest.New()
	c := &closureTest{
		t: t, store: store, term: testTerm(t, store),
		north: &fakeAgent{vm: "vm-north", hall: "north"}, south: &fakeAgent{vm: "vm-south", hall: "south"},
	}
	return c
}

func (c *closureTest) commit(txn kv.Txn) {
	c.t.Helper()
	_, err := c.store.Commit(context.Background(), txn)
	assert.NilError(c.t, err)
	assert.NilError(c.t, c.term.closures.Load(context.Background()))
}

func (c *closureTest) close(hall string) {
	c.t.Helper()
	c.commit(kv.Txn{Puts: []kv.Put{{Key: testClosures + hall, Value: []byte("{}")}}})
}

func (c *closureTest) open(hall string) {
	c.t.Helper()
	c.commit(kv.Txn{Removes: []string{testClosures + hall}})
}

// report sends a report of an agent and returns the answer.
func (c *closureTest) report(a *fakeAgent, rejected ...link.Rejected) link.ReportAnswer {
	c.t.Helper()
	r := testReport(a.vm + "-1")
	r.VM, r.Hall, r.Rejected = a.vm, a.hall, rejected
	answer, err := c.term.report(fakeSession{a}, r)
	assert.NilError(c.t, err)
	return answer
}

// runCycle lets the leader plan, commit and send its orders.
func (c *closureTest) runCycle() {
	c.t.Helper()
	assert.NilError(c.t, cycle(context.Background(), c.term))
	synctest.Wait()
}

func (c *closureTest) task() *job.Task {
	return c.term.jobs["00000000000000aa"].job.Task(job.TaskID{Job: "00000000000000aa"})
}

func startOrders(a *fakeAgent) int {
	count := 0
	for _, orders := range a.pendingOrders {
		count += len(orders.Starts)
	}
	return count
}

func TestNothingIsPlacedInAClosedHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosureTest(t)
		c.close("north")
		c.close("south")
		answer := c.report(c.north)
		assert.Assert(t, answer.Hall.Closed)
		assert.Assert(t, c.report(c.south).Hall.Closed)
		c.runCycle()
		assert.Equal(t, c.task().Phase(), job.Waiting)
		c.open("north")
		assert.Assert(t, !c.report(c.north).Hall.Closed)
		c.runCycle()
		assert.Equal(t, startOrders(c.north), 1)
		assert.Assert(t, !c.north.pendingOrders[0].Hall.Closed && c.north.pendingOrders[0].Hall.Revision > answer.Hall.Revision,
			"the order reports the reopened hall")
	})
}

// TestRunIsPlacedElsewhereIfItsHallClosesDuringCommit closes a hall between the placement of a run there and its commit.
func TestRunIsPlacedElsewhereIfItsHallClosesDuringCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosureTest(t)
		c.report(c.north)
		c.term.schedule()
		assert.Equal(t, c.task().Host().VM, "vm-north")
		c.close("north")
		c.report(c.south)
		c.runCycle()
		c.runCycle()
		assert.Equal(t, startOrders(c.north), 0)
		assert.Equal(t, startOrders(c.south), 1)
		assert.Equal(t, c.task().Run(), 2)
	})
}

// TestLostOrderToAClosedHallIsWithdrawn closes a hall after a start order to it was lost, which would be resent otherwise.
func TestLostOrderToAClosedHallIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosureTest(t)
		c.report(c.north)
		c.runCycle()
		assert.Equal(t, startOrders(c.north), 1)
		c.close("north")
		time.Sleep(resendAfter + time.Millisecond)
		c.commit(kv.Txn{})
		c.report(c.north)
		c.runCycle()
		assert.Equal(t, startOrders(c.north), 1)
		last := c.north.pendingOrders[len(c.north.pendingOrders)-1]
		assert.DeepEqual(t, last.Stops, []link.Run{{Task: "00000000000000aa.0.0.0", Number: 1}})
		// The acknowledged stop of a run that never started allows its task to be placed at once.
		c.report(c.south)
		c.report(c.north, link.Rejected{Run: last.Stops[0], Refusal: 2})
		c.runCycle()
		assert.Equal(t, startOrders(c.south), 1)
	})
}

// TestNothingIsPlacedWhileClosuresAreUnconfirmed uses a store that accepts commits and does not confirm the closures.
func TestNothingIsPlacedWhileClosuresAreUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosureTest(t)
		time.Sleep(testClosureDelay / 2)
		c.report(c.north)
		c.runCycle()
		assert.Equal(t, c.task().Phase(), job.Waiting)
		assert.NilError(t, c.term.closures.Load(context.Background()))
		c.runCycle()
		assert.Equal(t, startOrders(c.north), 1)
	})
}

// TestCommittedRunIsOrderedOnceClosuresAreConfirmed commits a run when the last confirmation of its open hall is too old.
func TestCommittedRunIsOrderedOnceClosuresAreConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosureTest(t)
		c.report(c.north)
		c.term.schedule()
		time.Sleep(testClosureDelay / 2)
		c.report(c.north)
		assert.NilError(t, c.term.commitChanges(context.Background()))
		synctest.Wait()
		assert.Equal(t, startOrders(c.north), 0)
		assert.NilError(t, c.term.closures.Load(context.Background()))
		c.report(c.north)
		c.runCycle()
		assert.Equal(t, startOrders(c.north), 1)
		assert.Equal(t, c.task().Run(), 1)
	})
}

// TestNewLeaderLoadsClosuresBeforePlacing lets an entry take over while a hall is closed.
func TestNewLeaderLoadsClosuresBeforePlacing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosureTest(t)
		c.close("north")
		c.store.RemoveLeasedKeys()
		next, err := newTestEntry("next", c.store).tryAcquire(context.Background())
		assert.NilError(t, err)
		assert.NilError(t, next.load(context.Background()))
		c.term = next
		r := testReport("vm-north-1")
		r.VM, r.Hall, r.Epoch = "vm-north", "north", next.epoch
		_, err = next.report(fakeSession{c.north}, r)
		assert.NilError(t, err)
		c.runCycle()
		assert.Equal(t, c.task().Phase(), job.Waiting)
	})
}

// TestMetricsCountRunsInClosedHalls keeps a run in a closed hall until this entry is no longer the leader.
func TestMetricsCountRunsInClosedHalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosureTest(t)
		c.report(c.north)
		c.runCycle()
		c.close("north")
		d := c.term.dispatcher
		d.term.Store(c.term)
		assert.Assert(t, cmp.Contains(metricsText(d), `"lead.closed_halls":{"value":1}`))
		assert.Assert(t, cmp.Contains(metricsText(d), `"lead.closed_running":{"value":1}`))
		d.term.Store(nil)
		assert.Assert(t, cmp.Contains(metricsText(d), `"lead.closed_halls":{"value":0}`))
		assert.Assert(t, cmp.Contains(metricsText(d), `"lead.closed_running":{"value":0}`))
	})
}

// metricsText returns the metrics of an entry in the served format.
func metricsText(d *Dispatcher) string {
	var text strings.Builder
	d.config.Metrics.Write(&text)
	return text.String()
}
