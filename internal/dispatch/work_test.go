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
)

// changingStore is a store that calls a function during each commit.
type changingStore struct {
	*kvtest.Store
	duringCommit func()
}

func (s changingStore) Commit(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
	time.Sleep(10 * time.Millisecond)
	s.duringCommit()
	return s.Store.Commit(ctx, txn)
}

// TestSchedulingContinuesUnderConstantCommits guards against a short task that is not placed as long as other jobs change
// during each commit.
func TestSchedulingContinuesUnderConstantCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		term := testTerm(t, store)
		step := job.Step{Count: 1, Size: job.Size{CPU: 1000}}
		other := term.addTestJob(1, step)
		term.store = changingStore{store, func() {
			term.mu.Lock()
			defer term.mu.Unlock()
			term.markDirty(other)
		}}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- term.planAndCommit(ctx) }()
		term.notifyChange()
		time.Sleep(50 * time.Millisecond)
		term.mu.Lock()
		term.addWorker("vm")
		short := term.addTestJob(2, step)
		term.mu.Unlock()
		term.notifyChange()
		time.Sleep(200 * time.Millisecond)
		term.mu.Lock()
		phase := short.job.Task(job.TaskID{Job: short.job.ID()}).Phase()
		saved := short.savedVersion
		term.mu.Unlock()
		assert.Equal(t, phase, job.Placed)
		assert.Assert(t, saved > 0, "the placement is committed")
		cancel()
		assert.Assert(t, fault.KindOf(<-ended) != fault.Stale)
	})
}

// TestUrgentJobsAreCommittedFirst checks that the placement of a task does not wait for the changes of less urgent jobs.
func TestUrgentJobsAreCommittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := testTerm(t, kvtest.New())
		batch := term.addTestJob(1, job.Step{Count: 1})
		queue := job.Queue{Service: testService, Priority: 2}
		term.jobs[batch.job.ID()].job = job.New(batch.job.ID(), *batch.job.Spec(), queue, time.Now())
		first, second := term.addTestJob(9, job.Step{Count: 1}), term.addTestJob(3, job.Step{Count: 1})
		term.markDirty(batch)
		term.markDirty(first)
		term.markDirty(second)
		term.markDirty(first)
		assert.DeepEqual(t, term.sortedDirty(), []job.ID{first.job.ID(), second.job.ID(), batch.job.ID()})
	})
}
