package fleet

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// TestCanceledJobWithALateSubmissionDoesNotStart guards against a job that starts after its cancellation was answered 410: the store had not carried out
// the write of its record yet.
func TestCanceledJobWithALateSubmissionDoesNotStart(t *testing.T) {
	for name, c := range map[string]struct {
		cancelAt int
		killed   bool
	}{
		"canceled at another entry":            {cancelAt: 1},
		"canceled at the entry":                {cancelAt: 0},
		"canceled at the entry, which is lost": {cancelAt: 0, killed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, err := New(Size{Entries: 3, Agents: 2}, binaries, t.ArtifactDir())
			assert.NilError(t, err)
			defer f.Close()
			caller := NewCaller(f, 1)
			id := caller.addJob(job.Spec{Text: "work=100ms", Steps: []job.Step{demoStep(2, 100*time.Millisecond)}})
			f.store.DelayPuts(record.JobKey(id))
			assert.Assert(t, !caller.submitAt(f.entries[0], id), "the store does not answer")
			f.store.DelayPuts("")
			assert.NilError(t, f.await(demoStepTimeout, func() bool { return caller.cancelAt(f.entries[c.cancelAt], id) }))
			if c.killed {
				f.entries[0].Signal(syscall.SIGKILL)
			}
			f.store.ApplyLate()
			other := caller.addJob(job.Spec{Text: "work=100ms", Steps: []job.Step{demoStep(2, 100*time.Millisecond)}})
			assert.NilError(t, f.await(demoStepTimeout, func() bool { return caller.submitAt(f.entries[1], other) }))
			assert.NilError(t, f.awaitFinished(caller, demoStepTimeout))
			assert.Assert(t, !f.checker.hasStarted(id), "a job accepted later has ended")
			assert.NilError(t, f.checker.verify())
		})
	}
}
