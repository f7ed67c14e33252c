package intake

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const canceledJob job.ID = "00000000000000aa"

var canceledAddress = Address{Host: "h", Path: "/q/" + string(canceledJob)}

// submit submits the job of the tests of cancellations at an entry.
func (e *testEntry) submit(t *testing.T) error {
	t.Helper()
	return e.server.Submit(t.Context(), canceledAddress, 1, func() (job.Spec, error) {
		return job.Spec{Steps: []job.Step{{Count: 1}}}, nil
	})
}

func (e *testEntry) cancel(t *testing.T) error {
	t.Helper()
	return e.server.Cancel(t.Context(), canceledAddress)
}

// awaitStore waits until the entry calls the store again after calls without an answer.
func (e *testEntry) awaitStore(t *testing.T) {
	t.Helper()
	for {
		_, err := e.server.config.Store.Get(t.Context(), record.LastCommitKey)
		if err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// newTestEntries returns two entries with one store.
func newTestEntries(t *testing.T) (first, second *testEntry) {
	t.Helper()
	first, second = newTestEntryWithQueue(t), newTestEntryWithQueue(t)
	second.store.Store = first.store.Store
	return first, second
}

// writesRecord reports whether a commit writes the record of the job, whatever else it has.
func writesRecord(change kv.Txn) bool {
	return slices.ContainsFunc(change.Puts, func(p kv.Put) bool { return p.Key == record.JobKey(canceledJob) })
}

// assertGone fails the test unless an error is of kind Gone.
func assertGone(t *testing.T, err error) {
	t.Helper()
	assert.Assert(t, fault.Is(err, fault.Gone), "%v", err)
}

// TestLateSubmissionOfACanceledJobIsNotAccepted guards against a job that is accepted after its cancellation was answered: the cancellation read that
// there was no record, which a write that was still under way changed.
func TestLateSubmissionOfACanceledJobIsNotAccepted(t *testing.T) {
	first, second := newTestEntries(t)
	data := first.store.Store
	data.SetDelays(writesRecord)
	assert.Assert(t, fault.Is(first.submit(t), fault.OutcomeUnknown))
	data.SetDelays(nil)
	assertGone(t, second.cancel(t))
	data.ApplyLate()
	first.awaitStore(t)
	item, err := data.Get(t.Context(), record.JobKey(canceledJob))
	assert.NilError(t, err)
	_, err = job.Decode(canceledJob, item.Value())
	assert.Assert(t, err != nil, "there is a record of the job")
	for _, e := range []*testEntry{first, second} {
		assertGone(t, e.submit(t))
		assertGone(t, e.cancel(t))
		_, err := e.server.State(t.Context(), canceledAddress)
		assertGone(t, err)
	}
}

// TestCancellationIsAnsweredOnceItIsStored guards against an answer before no submission can be accepted any more.
func TestCancellationIsAnsweredOnceItIsStored(t *testing.T) {
	first, _ := newTestEntries(t)
	first.store.SetFailure(func() kvtest.Failure { return kvtest.RequestLost })
	assert.Assert(t, fault.Is(first.cancel(t), fault.OutcomeUnknown))
	first.store.SetFailure(nil)
	first.awaitStore(t)
	assert.NilError(t, first.submit(t), "the cancellation was not acknowledged")
	assert.NilError(t, first.cancel(t))
}

// TestLateCancellationDoesNotApplyToAnAcceptedJob guards against the cancellation of a job that is accepted before the write of a cancellation that
// found no job.
func TestLateCancellationDoesNotApplyToAnAcceptedJob(t *testing.T) {
	first, second := newTestEntries(t)
	data := first.store.Store
	data.SetDelays(func(kv.Txn) bool { return true })
	assert.Assert(t, fault.Is(first.cancel(t), fault.OutcomeUnknown))
	data.SetDelays(nil)
	assert.NilError(t, second.submit(t))
	data.ApplyLate()
	state, err := second.server.State(t.Context(), canceledAddress)
	assert.NilError(t, err)
	assert.Equal(t, state, job.Queued)
	assert.Equal(t, len(data.Keys(record.CancelKey(canceledJob))), 0)
}

// TestSubmissionOfACanceledJobIsRefused guards against an acceptance that stands for a job which was canceled before; a job that nobody canceled is
// accepted again.
func TestSubmissionOfACanceledJobIsRefused(t *testing.T) {
	first, second := newTestEntries(t)
	assert.NilError(t, first.submit(t))
	assert.NilError(t, second.submit(t))
	assert.NilError(t, second.cancel(t))
	assert.NilError(t, first.cancel(t))
	assertGone(t, first.submit(t))
	assertGone(t, second.submit(t))
}

// TestCancellationRacesWithItsJob guards against cancellations that are lost, or that stay for a later job of the name, when the job's record changes
// between the read and the write.
func TestCancellationRacesWithItsJob(t *testing.T) {
	keys := []string{record.JobKey(canceledJob), record.CancelKey(canceledJob)}
	for name, c := range map[string]struct {
		before, meanwhile func(t *testing.T, other *testEntry)
		gone              bool
		left              []string
	}{
		"accepted": {
			meanwhile: func(t *testing.T, other *testEntry) { t.Helper(); assert.NilError(t, other.submit(t)) },
			left:      []string{keys[1], keys[0]},
		},
		"canceled": {
			before:    func(t *testing.T, other *testEntry) { t.Helper(); assert.NilError(t, other.submit(t)) },
			meanwhile: func(t *testing.T, other *testEntry) { t.Helper(); assert.NilError(t, other.cancel(t)) },
			left:      []string{keys[1], keys[0]},
		},
		"removed": {
			before: func(t *testing.T, other *testEntry) { t.Helper(); assert.NilError(t, other.submit(t)) },
			meanwhile: func(t *testing.T, other *testEntry) {
				t.Helper()
				assert.NilError(t, other.store.CommitAsOperator(kv.Txn{Removes: keys}))
			},
			gone: true,
			left: keys[:1],
		},
		"removed, and accepted again": {
			before: func(t *testing.T, other *testEntry) { t.Helper(); assert.NilError(t, other.submit(t)) },
			meanwhile: func(t *testing.T, other *testEntry) {
				t.Helper()
				assert.NilError(t, other.store.CommitAsOperator(kv.Txn{Removes: keys}))
				assert.NilError(t, other.submit(t))
			},
			left: []string{keys[1], keys[0]},
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := newTestEntries(t)
			if c.before != nil {
				c.before(t, second)
			}
			first.store.afterGet = func(string) { c.meanwhile(t, second) }
			err := first.cancel(t)
			assert.Equal(t, fault.Is(err, fault.Gone), c.gone, "%v", err)
			assert.Assert(t, err == nil || c.gone)
			assert.DeepEqual(t, first.store.Keys(record.InputPrefix), c.left)
		})
	}
}

// TestCancellationReplacesOneOfAnEarlierJob guards against a job that cannot be canceled since a cancellation was left by an earlier job of the name.
func TestCancellationReplacesOneOfAnEarlierJob(t *testing.T) {
	first, _ := newTestEntries(t)
	key := record.CancelKey(canceledJob)
	assert.NilError(t, first.store.CommitAsOperator(kv.Txn{Puts: []kv.Put{{Key: key, Value: []byte{1}}}}))
	assert.NilError(t, first.submit(t))
	assert.NilError(t, first.submit(t), "the job was not canceled")
	assert.NilError(t, first.cancel(t))
	accepted, err := first.store.Get(t.Context(), record.JobKey(canceledJob))
	assert.NilError(t, err)
	canceled, err := first.store.Get(t.Context(), key)
	assert.NilError(t, err)
	assert.Assert(t, canceled.Revision() > accepted.Revision())
}
