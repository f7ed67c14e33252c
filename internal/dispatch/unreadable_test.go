package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// TestUnreadableRecordBlocksNoOtherJob failed with nobody who could lead: one unreadable progress, or an unreadable record
// of the lead, ended each attempt.
func TestUnreadableRecordBlocksNoOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		const odd job.ID = "00000000000000bb"
		value, err := job.Encode(job.Spec{Steps: []job.Step{{Count: 1}}}, job.Queue{Service: testService, Attempts: 1}, time.Now())
		assert.NilError(t, err)
		_, err = store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{
			{Key: record.JobKey(odd), Value: value}, {Key: record.ProgressKey(odd), Value: []byte("odd")},
			{Key: record.JobKey("00000000000000cc"), Value: []byte("odd")}, {Key: record.CancelKey("00000000000000dd"), Value: []byte{0}},
			{Key: record.LeaderKey, Value: []byte("odd")}, {Key: record.PressureKey, Value: []byte("odd")},
		}})
		assert.NilError(t, err)
		lead := termWithPlacedTask(t, store, a)
		assert.Equal(t, lead.jobs[testJob].job.Task(job.TaskID{Job: testJob}).Phase(), job.Placed, "the others hold")
		assert.Assert(t, lead.jobs[odd] == nil, "what has run of it is not known")
		for _, orders := range a.pendingOrders {
			for _, start := range orders.Starts {
				assert.Equal(t, start.Task, job.TaskID{Job: testJob}.String())
			}
		}
		held, err := store.Get(t.Context(), record.ProgressKey(odd))
		assert.NilError(t, err)
		assert.Equal(t, string(held.Value()), "odd", "it is left as it is")
	})
}
