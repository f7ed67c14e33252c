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

// encodedTestJob returns the record of a job of one task.
func encodedTestJob(t *testing.T) []byte {
	t.Helper()
	value, err := job.Encode(job.Spec{Steps: []job.Step{{Count: 1}}}, job.Queue{Service: testService, Attempts: 1}, time.Now())
	assert.NilError(t, err)
	return value
}

// commitInputs commits values of keys, in one change each.
func commitInputs(t *testing.T, store *kvtest.Store, puts ...kv.Put) {
	t.Helper()
	for _, p := range puts {
		_, err := store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{p}})
		assert.NilError(t, err)
	}
}

// TestTombstoneIsRemovedAfterItsRetention guards against tombstones of canceled jobs that run, that are removed while a submission may still be under way,
// or that stay for ever, also under the next leaders.
func TestTombstoneIsRemovedAfterItsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const neverAccepted job.ID = "00000000000000bb"
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, store, a)
		commitInputs(t, store, kv.Put{Key: record.JobKey(neverAccepted), Value: record.Tombstone()})
		for _, successor := range []string{"", "f"} {
			if successor != "" {
				leader = takeOverFrom(t, store, successor)
			}
			_, err := leader.inputsFollower().Next(t.Context(), 0)
			assert.NilError(t, err)
			assert.Assert(t, leader.jobs[neverAccepted] == nil)
			time.Sleep(endedJobRetention - time.Second)
			runCycle(t, leader)
			assert.Equal(t, len(store.Keys(record.JobKey(neverAccepted))), 1)
		}
		time.Sleep(2 * time.Second)
		runCycle(t, leader)
		assert.Equal(t, len(store.Keys(record.JobKey(neverAccepted))), 0)
		assert.Equal(t, len(leader.untracked.tombstones), 0)
		assert.Equal(t, len(store.Keys(record.JobKey(testJob))), 1)
	})
}

// TestManyTombstonesAreRemoved checks that removals are spread over transactions within the store's limit.
func TestManyTombstonesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := termWithPlacedTask(t, store, a)
		for n := range 3 * kv.MaxEntries {
			id := job.ID(string(testJob[:13]) + string([]byte{'0' + byte(n/100), '0' + byte(n/10%10), '0' + byte(n%10)}))
			commitInputs(t, store, kv.Put{Key: record.JobKey(id), Value: record.Tombstone()})
		}
		_, err := leader.inputsFollower().Next(t.Context(), 0)
		assert.NilError(t, err)
		time.Sleep(endedJobRetention)
		for range 6 {
			runCycle(t, leader)
		}
		assert.DeepEqual(t, store.Keys(record.InputPrefix), []string{record.JobKey(testJob)})
	})
}

// TestCancellationAppliesToItsJobOnly guards against a job that is shown as canceled without cause, by a cancellation that an earlier job of the name has
// left, and against one that runs though it was canceled. Changes arrive one by one, in one snapshot, or with the load of the next leader.
func TestCancellationAppliesToItsJobOnly(t *testing.T) {
	const id job.ID = "00000000000000bb"
	canceled := kv.Put{Key: record.CancelKey(id), Value: []byte{1}}
	for name, order := range map[string]struct {
		afterwards bool
	}{"canceled before it was accepted": {false}, "canceled": {true}} {
		for _, arrival := range []string{"changes", "snapshot", "load"} {
			t.Run(name+", "+arrival, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store, a := kvtest.New(), &fakeAgent{vm: "vm"}
					leader := termWithPlacedTask(t, store, a)
					puts := []kv.Put{canceled, {Key: record.JobKey(id), Value: encodedTestJob(t)}}
					if order.afterwards {
						puts[0], puts[1] = puts[1], puts[0]
					}
					follower, after := leader.inputsFollower(), leader.inputsRevision
					for _, p := range puts {
						commitInputs(t, store, p)
						if arrival == "changes" {
							var err error
							after, err = follower.Next(t.Context(), after)
							assert.NilError(t, err)
						}
					}
					switch arrival {
					case "snapshot":
						_, err := follower.Next(t.Context(), 0)
						assert.NilError(t, err)
					case "load":
						leader = takeOverFrom(t, store, "f")
					}
					assert.Equal(t, leader.jobs[id].job.State() == job.Canceled, order.afterwards)
				})
			})
		}
	}
}
