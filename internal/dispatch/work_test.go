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

// busyStore is a store during whose commits something changes.
type busyStore struct {
	*kvtest.Store
	during func()
}

func (s busyStore) Commit(ctx context.Context, change kv.Txn) (kv.Revision, error) {
	time.Sleep(10 * time.Millisecond)
	s.during()
	return s.Store.Commit(ctx, change)
}

// TestPlansGoOnWhileThereIsAlwaysSomethingToCommit failed with a short task that was not placed for as long as ends of other
// jobs came in with each commit.
func TestPlansGoOnWhileThereIsAlwaysSomethingToCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		term := testTerm(t, store)
		step := job.Step{Count: 1, Size: job.Size{CPU: 1000}}
		other := term.benchJob(1, step)
		term.store = busyStore{store, func() {
			term.mu.Lock()
			defer term.mu.Unlock()
			term.touch(other)
		}}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- term.work(ctx) }()
		term.wakeUp()
		time.Sleep(50 * time.Millisecond)
		term.mu.Lock()
		term.benchWorker("vm")
		short := term.benchJob(2, step)
		term.mu.Unlock()
		term.wakeUp()
		time.Sleep(200 * time.Millisecond)
		term.mu.Lock()
		phase := short.job.Task(job.TaskID{Job: short.job.ID()}).Phase()
		saved := short.saved
		term.mu.Unlock()
		assert.Equal(t, phase, job.Placed)
		assert.Assert(t, saved > 0, "the placement is committed")
		cancel()
		assert.Assert(t, fault.KindOf(<-ended) != fault.Stale)
	})
}

// TestUrgentJobsAreCommittedFirst: a placement of short work does not wait for ends of batch.
func TestUrgentJobsAreCommittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := testTerm(t, kvtest.New())
		batch := term.benchJob(1, job.Step{Count: 1})
		queue := job.Queue{Service: testService, Priority: 2}
		term.jobs[batch.job.ID()].job = job.New(batch.job.ID(), *batch.job.Spec(), queue, time.Now())
		first, second := term.benchJob(9, job.Step{Count: 1}), term.benchJob(3, job.Step{Count: 1})
		term.touch(batch)
		term.touch(first)
		term.touch(second)
		term.touch(first)
		assert.DeepEqual(t, term.dirtyInOrder(), []job.ID{first.job.ID(), second.job.ID(), batch.job.ID()})
	})
}
