package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// TestNothingReachesAgentsThatAreCutOff checks that a cut drops the bytes of the agents, and that the last of overlapping cuts restores them: a job that is
// submitted meanwhile starts after the cuts.
func TestNothingReachesAgentsThatAreCutOff(t *testing.T) {
	t.Parallel()
	const cutTime = 2 * time.Second
	f, err := New(Size{Entries: 1, Agents: 2}, binaries, t.ArtifactDir())
	assert.NilError(t, err)
	defer f.Close()
	c := NewCaller(f, 1)
	assert.NilError(t, f.prepareRecuts(Soak{Seed: 1}, c))
	submit := func() job.ID {
		step := demoStep(1, time.Second)
		step.LongRunning = true
		id := c.addJob(job.Spec{Text: "work=1s", Steps: []job.Step{step}})
		assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(id) }))
		return id
	}
	first := submit()
	assert.NilError(t, f.await(finishTimeout, func() bool { return f.checker.running(first) == 1 }))
	for n := range f.agents {
		f.setCutOff(n, 1)
		f.setCutOff(n, 1)
	}
	second := submit()
	for n := range f.agents {
		f.setCutOff(n, -1)
	}
	<-time.After(cutTime)
	assert.Equal(t, f.checker.running(second), 0, "while the agents are cut off")
	for n := range f.agents {
		f.setCutOff(n, -1)
	}
	assert.NilError(t, f.await(finishTimeout, func() bool { return f.checker.running(second) == 1 }))
	assert.NilError(t, f.checker.verify())
}
