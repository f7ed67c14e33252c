package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// TestAllProcessesKilledAtOnce kills every process and every worker within milliseconds, right after acceptances; only the
// store stays up and the workers return under the same ids. Accepted jobs are done once, and the long-running task runs
// again.
func TestAllProcessesKilledAtOnce(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 3, Agents: 3}, binaries, t.ArtifactDir())
	assert.NilError(t, err)
	defer f.Close()
	for _, w := range f.workers {
		w.SetIdentities(SameIDClockBehind)
	}
	c := NewCaller(f, 1)
	step := demoStep(3, time.Second)
	step.LongRunning = true
	longRunning := c.addJob(job.Spec{Text: "work=1s", Steps: []job.Step{step}})
	assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(longRunning) }))
	runs := func() bool { return f.checker.running(longRunning) == step.Count }
	assert.NilError(t, f.await(finishTimeout, runs))
	var batch []job.ID
	for range 6 {
		id := c.addJob(job.Spec{Text: "work=700ms", Steps: []job.Step{demoStep(2, 700*time.Millisecond)}})
		assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(id) }))
		batch = append(batch, id)
	}
	f.killAll()
	for _, w := range f.workers {
		w.Crash()
	}
	assert.NilError(t, f.await(2*finishTimeout, runs), "long-running task")
	assert.NilError(t, f.await(2*finishTimeout, func() bool {
		c.QueryUnfinished()
		return len(f.checker.Unfinished()) == 1
	}), "%d batch jobs", len(batch))
	assert.NilError(t, f.checker.verify())
}
