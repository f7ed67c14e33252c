package dispatch

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// startedTasks returns the names of the tasks whose starts were ordered to an agent.
func startedTasks(a *fakeAgent) map[string]bool {
	started := make(map[string]bool)
	for _, orders := range a.pendingOrders {
		for _, s := range orders.Starts {
			started[s.Task] = true
		}
	}
	return started
}

// submitJobs submits jobs of one task each to a leader and returns their tasks.
func submitJobs(t *testing.T, store *kvtest.Store, leader *term, names ...job.ID) []job.TaskID {
	t.Helper()
	tasks := make([]job.TaskID, 0, len(names))
	for _, name := range names {
		spec := job.Spec{Steps: []job.Step{{Count: 1, Size: job.Size{CPU: 10}, Checkpoints: true}}}
		value, err := job.Encode(spec, job.Queue{Service: testService, Attempts: 1, Stretch: 2, Target: time.Minute}, time.Now())
		assert.NilError(t, err)
		_, err = store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: record.JobKey(name), Value: value}}})
		assert.NilError(t, err)
		tasks = append(tasks, job.TaskID{Job: name})
	}
	_, err := leader.inputsFollower().Next(t.Context(), 0)
	assert.NilError(t, err)
	return tasks
}

// acceptAgain lets the store accept all records again and waits until the refused ones are due.
func acceptAgain(t *testing.T, store *kvtest.Store, leader *term) {
	t.Helper()
	store.SetRefuses(nil)
	time.Sleep(maxRefusedDelay)
	assert.NilError(t, leader.closures.Load(t.Context()))
}

// TestRefusedRecordHoldsUpNoOther guards against a stop of all commits since the store refuses the progress of one job: the refused batch was retried
// without end.
func TestRefusedRecordHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := testTerm(t, store)
		tasks := submitJobs(t, store, leader, "00000000000000b1", "00000000000000b2", "00000000000000b3")
		refused := record.ProgressKey(tasks[1].Job)
		store.SetRefuses(func(p kv.Put) bool { return p.Key == refused })
		report := testReport("i1")
		_, err := leader.report(fakeSession{a}, report)
		assert.NilError(t, err)
		runCycle(t, leader)
		started := startedTasks(a)
		assert.Assert(t, started[tasks[0].String()] && started[tasks[2].String()], "started: %v", started)
		assert.Assert(t, !started[tasks[1].String()], "a run starts only once it is stored")
		for n, id := range []job.TaskID{{Job: testJob}, tasks[0], tasks[2]} {
			report.Ended = append(report.Ended, link.Ended{Run: link.NewRun(id, 1), Sequence: uint64(n + 1), End: int(job.EndDone)})
		}
		go func() { _, _ = leader.report(fakeSession{a}, report) }()
		synctest.Wait()
		for range 3 {
			time.Sleep(minRefusedDelay)
			runCycle(t, leader)
		}
		assert.Assert(t, store.Commits() < 20, "%d commits", store.Commits())
		acceptAgain(t, store, leader)
		_, err = leader.report(fakeSession{a}, report)
		assert.NilError(t, err)
		runCycle(t, leader)
		assert.Assert(t, startedTasks(a)[tasks[1].String()], "the job goes on once its progress is stored")
	})
}

// TestEndsBeforeThatOfARefusedRecordAreAcknowledged guards against a worker whose ends are never acknowledged since the progress of one job is refused,
// and against the acknowledgement of an end that the store does not have.
func TestEndsBeforeThatOfARefusedRecordAreAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := testTerm(t, store)
		tasks := submitJobs(t, store, leader, "00000000000000b1", "00000000000000b2", "00000000000000b3")
		report := testReport("i1")
		_, err := leader.report(fakeSession{a}, report)
		assert.NilError(t, err)
		runCycle(t, leader)
		refused := record.ProgressKey(tasks[1].Job)
		store.SetRefuses(func(p kv.Put) bool { return p.Key == refused })
		for n, id := range tasks {
			report.Ended = append(report.Ended, link.Ended{Run: link.NewRun(id, 1), Sequence: uint64(n + 1), End: int(job.EndDone)})
		}
		acknowledged := func() uint64 {
			answers := make(chan link.ReportAnswer, 1)
			go func() {
				answer, _ := leader.report(fakeSession{a}, report)
				answers <- answer
			}()
			synctest.Wait()
			runCycle(t, leader)
			return (<-answers).AcknowledgedEnds
		}
		assert.Equal(t, acknowledged(), uint64(1))
		assert.Equal(t, leader.jobs[tasks[2].Job].savedVersion, leader.jobs[tasks[2].Job].version)
		acceptAgain(t, store, leader)
		runCycle(t, leader)
		assert.Equal(t, acknowledged(), uint64(3))
	})
}

// TestRecordRefusedForItsCheckpointsIsStoredWithout guards against a job that stops since a store with a smaller limit refuses its checkpoints.
func TestRecordRefusedForItsCheckpointsIsStoredWithout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := testTerm(t, store)
		tasks := submitJobs(t, store, leader, "00000000000000b1", "00000000000000b2")
		_, err := leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		runCycle(t, leader)
		store.SetRefuses(func(p kv.Put) bool { return len(p.Value) > 1000 })
		report := testReport("i1")
		for n, id := range tasks {
			end := link.Ended{Run: link.NewRun(id, 1), Sequence: uint64(n + 1), End: int(job.EndStopped), Checkpoint: strings.Repeat("c", 2000)}
			report.Ended = append(report.Ended, end)
		}
		a.pendingOrders = nil
		go func() { _, _ = leader.report(fakeSession{a}, report) }()
		synctest.Wait()
		runCycle(t, leader)
		synctest.Wait()
		_, err = leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		runCycle(t, leader)
		assert.Equal(t, len(startedTasks(a)), len(tasks))
		for _, orders := range a.pendingOrders {
			for _, s := range orders.Starts {
				assert.Equal(t, len(s.Checkpoint), 2000, "the leader goes on using the checkpoint")
			}
		}
	})
}

// TestRefusedModelsHoldUpNoJob guards against a model that has outgrown the store and stops all commits.
func TestRefusedModelsHoldUpNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := testTerm(t, store)
		store.SetRefuses(func(p kv.Put) bool { return p.Key == record.PressureKey })
		_, err := leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		runCycle(t, leader)
		assert.Equal(t, len(startedTasks(a)), 1)
	})
}

// TestBoundOfTheLeasesIsStoredAfterARefusedBatch guards against a successor that assumes the longest leases, since the batch with their bound was refused and
// the bound counted as stored.
func TestBoundOfTheLeasesIsStoredAfterARefusedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := kvtest.New(), &fakeAgent{vm: "vm"}
		leader := testTerm(t, store)
		assert.NilError(t, store.CommitAsOperator(kv.Txn{Removes: []string{record.LeasesKey}}))
		leader.leasesStored = false
		store.SetRefuses(func(p kv.Put) bool { return p.Key == record.PressureKey })
		_, err := leader.report(fakeSession{a}, testReport("i1"))
		assert.NilError(t, err)
		runCycle(t, leader)
		assert.Equal(t, len(store.Keys(record.LeasesKey)), 1)
	})
}
