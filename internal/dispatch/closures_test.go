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

// closingTest is a lead with one job of one task and an agent in each of two halls.
type closingTest struct {
	t            *testing.T
	store        *kvtest.Store
	term         *term
	north, south *fakeAgent
}

func newClosingTest(t *testing.T) *closingTest {
	store := kvtest.New()
	c := &closingTest{
		t: t, store: store, term: testTerm(t, store),
		north: &fakeAgent{vm: "vm-north", hall: "north"}, south: &fakeAgent{vm: "vm-south", hall: "south"},
	}
	return c
}

func (c *closingTest) change(txn kv.Txn) {
	c.t.Helper()
	_, err := c.store.Commit(context.Background(), txn)
	assert.NilError(c.t, err)
	assert.NilError(c.t, c.term.closures.Load(context.Background()))
}

func (c *closingTest) close(hall string) {
	c.t.Helper()
	c.change(kv.Txn{Puts: []kv.Put{{Key: testClosures + hall, Value: []byte("{}")}}})
}

func (c *closingTest) open(hall string) {
	c.t.Helper()
	c.change(kv.Txn{Removes: []string{testClosures + hall}})
}

// report lets an agent report what it has, and returns the answer.
func (c *closingTest) report(a *fakeAgent, rejected ...link.Rejected) link.ReportAnswer {
	c.t.Helper()
	r := reportOf(a.vm + "-1")
	r.VM, r.Hall, r.Rejected = a.vm, a.hall, rejected
	answer, err := c.term.report(mailbox{a}, r)
	assert.NilError(c.t, err)
	return answer
}

// work lets the lead plan, commit and send its orders.
func (c *closingTest) work() {
	c.t.Helper()
	assert.NilError(c.t, cycle(context.Background(), c.term))
	synctest.Wait()
}

func (c *closingTest) task() *job.Task {
	return c.term.jobs["00000000000000aa"].job.Task(job.TaskID{Job: "00000000000000aa"})
}

func starts(a *fakeAgent) int {
	count := 0
	for _, orders := range a.mail {
		count += len(orders.Starts)
	}
	return count
}

func TestNothingIsPlacedInAClosedHall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosingTest(t)
		c.close("north")
		c.close("south")
		answer := c.report(c.north)
		assert.Assert(t, answer.Hall.Closed)
		assert.Assert(t, c.report(c.south).Hall.Closed)
		c.work()
		assert.Equal(t, c.task().Phase(), job.Waiting)
		c.open("north")
		assert.Assert(t, !c.report(c.north).Hall.Closed)
		c.work()
		assert.Equal(t, starts(c.north), 1)
		assert.Assert(t, !c.north.mail[0].Hall.Closed && c.north.mail[0].Hall.Revision > answer.Hall.Revision,
			"the order tells that the hall is open again")
	})
}

// TestWhatIsCommittedAsItsHallIsClosedIsPlacedElsewhere is a closure that comes while the commit is on its way.
func TestWhatIsCommittedAsItsHallIsClosedIsPlacedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosingTest(t)
		c.report(c.north)
		c.term.decide()
		assert.Equal(t, c.task().Host().VM, "vm-north")
		c.close("north")
		c.report(c.south)
		c.work()
		c.work()
		assert.Equal(t, starts(c.north), 0)
		assert.Equal(t, starts(c.south), 1)
		assert.Equal(t, c.task().Run(), 2)
	})
}

// TestLostOrderToAClosedHallIsTakenBack is an order that was lost, so that it would be given again.
func TestLostOrderToAClosedHallIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosingTest(t)
		c.report(c.north)
		c.work()
		assert.Equal(t, starts(c.north), 1)
		c.close("north")
		time.Sleep(resendAfter + time.Millisecond)
		c.change(kv.Txn{})
		c.report(c.north)
		c.work()
		assert.Equal(t, starts(c.north), 1)
		last := c.north.mail[len(c.north.mail)-1]
		assert.DeepEqual(t, last.Stops, []link.Run{{Task: "00000000000000aa.0.0.0", Number: 1}})
		// The acknowledged stop of a run that never began frees its task at once.
		c.report(c.south)
		c.report(c.north, link.Rejected{Run: last.Stops[0], Refusal: 2})
		c.work()
		assert.Equal(t, starts(c.south), 1)
	})
}

// TestNothingIsPlacedWhileClosuresMayBeUnknown is a store that takes commits and does not tell the lead of closures.
func TestNothingIsPlacedWhileClosuresMayBeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosingTest(t)
		time.Sleep(testClosedWithin / 2)
		c.report(c.north)
		c.work()
		assert.Equal(t, c.task().Phase(), job.Waiting)
		assert.NilError(t, c.term.closures.Load(context.Background()))
		c.work()
		assert.Equal(t, starts(c.north), 1)
	})
}

// TestCommittedRunIsOrderedOnceClosuresAreKnownAgain is a commit that is done long after its hall was known to be open.
func TestCommittedRunIsOrderedOnceClosuresAreKnownAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosingTest(t)
		c.report(c.north)
		c.term.decide()
		time.Sleep(testClosedWithin / 2)
		c.report(c.north)
		assert.NilError(t, c.term.settle(context.Background()))
		synctest.Wait()
		assert.Equal(t, starts(c.north), 0)
		assert.NilError(t, c.term.closures.Load(context.Background()))
		c.report(c.north)
		c.work()
		assert.Equal(t, starts(c.north), 1)
		assert.Equal(t, c.task().Run(), 1)
	})
}

// TestNextLeadKnowsOfClosuresBeforeItPlaces is a lead that takes over while a hall is closed.
func TestNextLeadKnowsOfClosuresBeforeItPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosingTest(t)
		c.close("north")
		c.store.Revoke()
		next, err := entryOf("next", c.store).stand(context.Background())
		assert.NilError(t, err)
		assert.NilError(t, next.load(context.Background()))
		c.term = next
		r := reportOf("vm-north-1")
		r.VM, r.Hall, r.Epoch = "vm-north", "north", next.epoch
		_, err = next.report(mailbox{c.north}, r)
		assert.NilError(t, err)
		c.work()
		assert.Equal(t, c.task().Phase(), job.Waiting)
	})
}

// TestMetricsTellWhatIsLeftInClosedHalls plays a run that goes on in a hall that was closed, until this entry leads no more.
func TestMetricsTellWhatIsLeftInClosedHalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosingTest(t)
		c.report(c.north)
		c.work()
		c.close("north")
		d := c.term.d
		d.term.Store(c.term)
		assert.Assert(t, cmp.Contains(written(d), `"lead.closed_halls":{"value":1}`))
		assert.Assert(t, cmp.Contains(written(d), `"lead.closed_running":{"value":1}`))
		d.term.Store(nil)
		assert.Assert(t, cmp.Contains(written(d), `"lead.closed_halls":{"value":0}`))
		assert.Assert(t, cmp.Contains(written(d), `"lead.closed_running":{"value":0}`))
	})
}

// written returns the metrics of an entry as they are served.
func written(d *Dispatcher) string {
	var text strings.Builder
	d.config.Metrics.Write(&text)
	return text.String()
}
