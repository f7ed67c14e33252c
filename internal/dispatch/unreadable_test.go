package dispatch

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// TestUnreadableRecordBlocksNoOtherJob guards against one unreadable progress record, or an unreadable leader record, that keeps every entry
// from becoming the leader.
func TestUnreadableRecordBlocksNoOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		const unreadable job.ID = "00000000000000bb"
		_, err := store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{
			{Key: record.JobKey(unreadable), Value: encodedTestJob(t)}, {Key: record.ProgressKey(unreadable), Value: []byte("odd")},
			{Key: record.JobKey("00000000000000cc"), Value: []byte("odd")}, {Key: record.CancelKey("00000000000000dd"), Value: []byte{0}},
			{Key: record.LeaderKey, Value: []byte("odd")}, {Key: record.PressureKey, Value: []byte("odd")},
		}})
		assert.NilError(t, err)
		leader := termWithPlacedTask(t, store, a)
		assert.Equal(t, leader.jobs[testJob].job.Task(job.TaskID{Job: testJob}).Phase(), job.Placed, "the other jobs continue")
		assert.Assert(t, leader.jobs[unreadable] == nil, "without its progress it is unknown which tasks have run")
		for _, orders := range a.pendingOrders {
			for _, start := range orders.Starts {
				assert.Equal(t, start.Task, job.TaskID{Job: testJob}.String())
			}
		}
		stored, err := store.Get(t.Context(), record.ProgressKey(unreadable))
		assert.NilError(t, err)
		assert.Equal(t, string(stored.Value()), "odd", "the record is unchanged")
	})
}

// TestJobWithUnreadableProgressIsNotReadAgain guards against tasks that run again although they may be done: a read of all jobs after a loss of history
// made a job whose progress could not be read a new one.
func TestJobWithUnreadableProgressIsNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const unreadable job.ID = "00000000000000bb"
		store := kvtest.New()
		commitInputs(t, store, kv.Put{Key: record.JobKey(unreadable), Value: encodedTestJob(t)}, kv.Put{Key: record.ProgressKey(unreadable), Value: []byte("odd")})
		leader := termWithPlacedTask(t, store, &fakeAgent{vm: "vm"})
		assert.NilError(t, leader.applyInputs(readInputs(t.Context(), t, store)))
		assert.Assert(t, leader.jobs[unreadable] == nil)
	})
}
