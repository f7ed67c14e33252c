package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// readInputs returns a read of all inputs, as after a loss of history.
func readInputs(ctx context.Context, t *testing.T, store *kvtest.Store) follow.Change {
	t.Helper()
	items, revision, err := store.Range(ctx, record.InputPrefix)
	assert.NilError(t, err)
	change := follow.Change{Snapshot: true, Revision: revision}
	for _, i := range items {
		change.Events = append(change.Events, kv.NewEvent(i, false))
	}
	return change
}

// TestReadBeforeARemovalRestoresNoJob guards against jobs that run again after they were done: a read of all jobs that the store answers before it removes
// them, and that arrives afterwards, made them new ones. A later job of the name is accepted, and the read that has it ends the guard.
func TestReadBeforeARemovalRestoresNoJob(t *testing.T) {
	const neverAccepted job.ID = "00000000000000bb"
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, store, a)
		commitInputs(t, store, kv.Put{Key: record.JobKey(neverAccepted), Value: record.Tombstone()})
		assert.NilError(t, leader.applyInputs(readInputs(t.Context(), t, store)))
		cancelJob(t, store, leader)
		read := readInputs(t.Context(), t, store)
		time.Sleep(endedJobRetention + time.Second)
		for range 2 {
			runCycle(t, leader)
		}
		assert.Equal(t, len(store.Keys(record.InputPrefix)), 0, "the records are removed")
		for range 2 {
			assert.NilError(t, leader.applyInputs(read))
			runCycle(t, leader)
			assert.Equal(t, len(leader.jobs)+len(leader.untracked.tombstones), 0)
		}

		for _, id := range []job.ID{testJob, neverAccepted} {
			commitInputs(t, store, kv.Put{Key: record.JobKey(id), Value: encodedTestJob(t)})
		}
		assert.NilError(t, leader.applyInputs(readInputs(t.Context(), t, store)))
		assert.Equal(t, len(leader.jobs), 2, "later jobs of the names")
		assert.Equal(t, len(leader.untracked.removed), 0)
	})
}

// TestLaterJobOfANameIsNotLost guards against a job that never runs: its record arrives before the leader learns that the removal of an earlier job of
// the name is committed.
func TestLaterJobOfANameIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, store, a)
		cancelJob(t, store, leader)
		time.Sleep(endedJobRetention + time.Second)
		runCycle(t, leader)
		b, err := leader.nextBatch()
		assert.NilError(t, err)
		assert.DeepEqual(t, b.removed, []job.ID{testJob})
		revision, err := store.Commit(t.Context(), b.txn)
		assert.NilError(t, err)
		commitInputs(t, store, kv.Put{Key: record.JobKey(testJob), Value: encodedTestJob(t)})
		assert.Assert(t, leader.applyInputs(readInputs(t.Context(), t, store)) != nil)
		leader.applyCommit(b, revision, leader.now())
		assert.NilError(t, leader.applyInputs(readInputs(t.Context(), t, store)))
		assert.Equal(t, leader.jobs[testJob].job.State(), job.Queued)
	})
}

// inputsModel has a leader and jobs of a few names, which callers use again as soon as the store has no record.
type inputsModel struct {
	t      *rapid.T
	test   *testing.T
	ctx    context.Context
	store  *kvtest.Store
	leader *term
	terms  int
	// read is a read of all inputs that has not arrived yet.
	read *follow.Change
}

func (m *inputsModel) drawName() job.ID {
	return job.ID(fmt.Sprintf("%016x", rapid.IntRange(1, 3).Draw(m.t, "name")))
}

// elect lets the next leader take over; an attempt fails if its commit does.
func (m *inputsModel) elect() {
	m.store.RemoveLeasedKeys()
	for {
		m.terms++
		next, err := newTestEntry(fmt.Sprintf("entry%d", m.terms), m.store).tryAcquire(m.ctx)
		if err == nil && next.load(m.ctx) == nil {
			m.leader, m.read = next, nil
			return
		}
	}
}

// submit writes the record of a job, and cancel its cancellation or a tombstone, as entries do.
func (m *inputsModel) submit(id job.ID) {
	_, _ = m.store.Commit(m.ctx, kv.Txn{
		Conditions: []kv.Condition{{Key: record.JobKey(id)}},
		Puts:       []kv.Put{{Key: record.JobKey(id), Value: encodedTestJob(m.test)}},
	})
}

func (m *inputsModel) cancel(id job.ID) {
	accepted, err := m.store.Get(m.ctx, record.JobKey(id))
	assert.NilError(m.test, err)
	change := kv.Txn{Conditions: []kv.Condition{{Key: record.JobKey(id), Revision: accepted.Revision()}}}
	switch {
	case accepted.Revision() == 0:
		change.Puts = []kv.Put{{Key: record.JobKey(id), Value: record.Tombstone()}}
	case record.IsTombstone(accepted.Value()):
		return
	default:
		change.Puts = []kv.Put{{Key: record.CancelKey(id), Value: []byte{1}}}
	}
	_, _ = m.store.Commit(m.ctx, change)
}

func (m *inputsModel) readInputs() *follow.Change {
	read := readInputs(m.ctx, m.test, m.store)
	return &read
}

// arrive lets the earlier read arrive, or a current one.
func (m *inputsModel) arrive() {
	read := cmp.Or(m.read, m.readInputs())
	m.read = nil
	_ = m.leader.applyInputs(*read)
}

func (m *inputsModel) performAction() {
	switch rapid.IntRange(0, 8).Draw(m.t, "act") {
	case 0, 1:
		m.submit(m.drawName())
	case 2, 3:
		m.cancel(m.drawName())
	case 4:
		if m.read == nil {
			m.read = m.readInputs()
		}
	case 5:
		m.arrive()
	case 6:
		assert.NilError(m.test, cycle(m.ctx, m.leader))
	case 7:
		time.Sleep(time.Duration(rapid.IntRange(1, 100).Draw(m.t, "s")) * time.Second)
	case 8:
		m.store.ApplyLate()
		if rapid.IntRange(0, 4).Draw(m.t, "elects") == 0 {
			m.elect()
		}
	}
}

// check fails the test if the leader has a job that the store has not.
func (m *inputsModel) check() {
	for id, tracked := range m.leader.jobs {
		item, err := m.store.Get(m.ctx, record.JobKey(id))
		assert.NilError(m.test, err)
		if item.Revision() != tracked.acceptedRevision {
			m.t.Fatalf("the leader has %s of revision %d, the store has revision %d", id, tracked.acceptedRevision, item.Revision())
		}
	}
}

// checkComplete fails the test unless the leader has the jobs of the store, and shows those as canceled that were.
func (m *inputsModel) checkComplete() {
	for _, key := range m.store.Keys(record.JobKey("")) {
		id, _ := record.ParseJobKey(key)
		item, err := m.store.Get(m.ctx, key)
		assert.NilError(m.test, err)
		canceled, err := m.store.Get(m.ctx, record.CancelKey(id))
		assert.NilError(m.test, err)
		tracked := m.leader.jobs[id]
		switch {
		case record.IsTombstone(item.Value()) != (tracked == nil):
			m.t.Fatalf("%s: tombstone %t, tracked %t", id, tracked == nil, tracked != nil)
		case tracked != nil && (tracked.job.State() == job.Canceled) != (canceled.Revision() > item.Revision()):
			m.t.Fatalf("%s is %s; accepted at %d, canceled at %d", id, tracked.job.State(), item.Revision(), canceled.Revision())
		}
	}
}

// TestInputsProperty draws submissions, cancellations, removals and reads that arrive late, with names that are used again.
func TestInputsProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inFakeTime(t, func() {
			m := &inputsModel{t: rt, test: t, ctx: context.Background(), store: kvtest.New()}
			m.elect()
			m.store.SetFailure(func() kvtest.Failure {
				return rapid.SampledFrom([]kvtest.Failure{kvtest.None, kvtest.None, kvtest.None, kvtest.Late, kvtest.AnswerLost}).Draw(rt, "failure")
			})
			for range rapid.IntRange(20, 80).Draw(rt, "acts") {
				m.performAction()
				m.check()
			}
			m.store.SetFailure(nil)
			m.store.ApplyLate()
			for range 2 {
				m.arrive()
				assert.NilError(t, cycle(m.ctx, m.leader))
				m.check()
			}
			m.arrive()
			m.checkComplete()
		})
	})
}
