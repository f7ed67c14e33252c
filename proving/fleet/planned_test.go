package fleet

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// gracePeriod is how long a VM remains after SIGTERM, as in the settings of a fleet.
	gracePeriod = 6 * time.Second
	// idleTimeout bounds how long a long-running task does not run while a worker has capacity for it.
	idleTimeout = 6 * time.Second
)

// TestRunsContinueUntilTheVMOfTheirAgentIsRemoved guards against runs whose leases expire while their VM, which is about to be removed, still has
// its grace period: their agent had ended at once at SIGTERM, and long-running tasks stood still on workers with capacity.
func TestRunsContinueUntilTheVMOfTheirAgentIsRemoved(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 3, Agents: 3}, binaries, t.ArtifactDir())
	assert.NilError(t, err)
	defer f.Close()
	c := NewCaller(f, 1)
	step := demoStep(6, time.Second)
	step.LongRunning = true
	id := c.addJob(job.Spec{Text: "work=1s", Steps: []job.Step{step}})
	assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(id) }))
	allRun := func() bool {
		total := 0
		for _, w := range f.workers {
			total += w.runs()
		}
		return total == step.Count
	}
	assert.NilError(t, f.await(finishTimeout, allRun))
	for removed := range len(f.agents) - 1 {
		w := f.workers[removed]
		runs := w.runs()
		f.agents[removed].remove(syscall.SIGTERM)
		for removedAt := time.Now().Add(gracePeriod); time.Now().Before(removedAt); {
			assert.Equal(t, w.runs(), runs, "%v before the VM is removed", time.Until(removedAt))
			<-time.After(100 * time.Millisecond)
		}
		w.SetSilent(true)
		w.Crash()
		assert.NilError(t, f.await(idleTimeout, allRun), "after the removal of %d VMs", removed+1)
	}
	assert.NilError(t, f.checker.verify())
}
