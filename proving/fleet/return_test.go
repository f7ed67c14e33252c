package fleet

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// placementTimeout is the time within which a long-running task has to run again after its run ended, by the users' rules.
const placementTimeout = 6 * time.Second

// TestLastingTaskRunsAgainAfterItsWorkerReturnsUnderItsID guards against a long-running task that did not run for 11 s
// though there was capacity for it.
//
// A worker crashes and returns within a second under the same id, with a clock that is behind. The agent identified a worker
// by its id alone and ignored answers of the new incarnation as superseded until its clock had passed the old one's; until
// then it reported runs that had ended. One agent accepted its worker 42 s after the crash, 38 s after the worker was
// up; agents logged the answers they ignored as superseded.
func TestLastingTaskRunsAgainAfterItsWorkerReturnsUnderItsID(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 2, Agents: 3}, binaries, t.ArtifactDir())
	assert.NilError(t, err)
	defer f.Close()
	for _, w := range f.workers {
		w.SetIdentities(SameIDClockBehind)
	}
	c := NewCaller(f, 1)
	step := demoStep(6, time.Second)
	step.LongRunning = true
	id := c.addJob(job.Spec{Text: "work=1s", Steps: []job.Step{step}})
	assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(id) }))
	runs := func() bool { return f.checker.running(id) == step.Count }
	assert.NilError(t, f.await(finishTimeout, runs), "at the start")
	for n := range 4 {
		// A task whose worker crashes right after its start may be given up.
		<-time.After(2 * time.Second)
		f.worker(n).Crash()
		assert.NilError(t, f.await(placementTimeout, runs), "%d after crash %d", f.checker.running(id), n)
	}
	assert.NilError(t, f.checker.verify())
}

// TestDoneTaskIsNotStartedAgainAfterItsWorkerReturnsUnderItsID guards against a second run of a task whose first run had
// ended as done, with an acknowledged end.
//
// A worker with acknowledged ends crashes and returns under the same id; a task runs there and is done. Ends are numbered
// from 1 in each incarnation, and the agent acknowledged the new ones by the old numbers (up to 69 where the worker had
// reported ends up to 1). The worker then discarded an end that was not committed, and refused the next start since it had
// had the run.
func TestDoneTaskIsNotStartedAgainAfterItsWorkerReturnsUnderItsID(t *testing.T) {
	t.Parallel()
	for name, identities := range map[string]IdentityFunc{"ClockAhead": SameIDClockAhead, "ClockBehind": SameIDClockBehind} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, err := New(Size{Entries: 2, Agents: 3}, binaries, t.ArtifactDir())
			assert.NilError(t, err)
			defer f.Close()
			for _, w := range f.workers {
				w.SetIdentities(identities)
			}
			c, stop := NewCaller(f, 1), make(chan struct{})
			var calls sync.WaitGroup
			calls.Go(func() { c.Run(120*time.Millisecond, stop) })
			for n := range 6 {
				<-time.After(1500 * time.Millisecond)
				f.worker(n).Crash()
			}
			close(stop)
			calls.Wait()
			finished := f.awaitFinished(c, finishTimeout)
			assert.NilError(t, f.checker.verify())
			assert.NilError(t, finished, fmt.Sprint(f.checker.Counts()))
		})
	}
}
