package fleet

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// TestTaskThatCrashesItsWorkersIsGivenUp guards against a task that crashes worker after worker: two such tasks, restarted
// about 40 times, kept their jobs running for minutes and failed most other work.
//
// A worker accepted the start, crashed 10 ms later with all its runs, and returned after 1.5 s under a new id. The leader
// attributed the end of the incarnation to no task and placed all its runs 19 ms later, in one plan, on the next
// incarnation. Run numbers rose by one with each incarnation under a single leader, and the stored progress had no field
// that could count a crash.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 3, Agents: 5}, binaries, t.ArtifactDir())
	assert.NilError(t, err)
	defer f.Close()
	c, stop := NewCaller(f, 1), make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { c.Run(300*time.Millisecond, stop) })
	for n := range 2 {
		id := c.addJob(job.Spec{Text: crashMarker + " work=500ms", Steps: []job.Step{demoStep(3, 500*time.Millisecond)}})
		assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(id) }))
		// The next leader must know the crashes that were counted.
		<-time.After(3 * time.Second)
		f.entry(n).Signal(syscall.SIGKILL)
	}
	<-time.After(5 * time.Second)
	close(stop)
	others.Wait()
	finished := f.awaitFinished(c, finishTimeout)
	assert.NilError(t, f.checker.verify())
	assert.NilError(t, finished)
	crashing, harmless := f.checker.GivenUp()
	t.Logf("%s; %d workers crashed, %d crashing jobs given up, %d others", f.checker.Counts(), f.checker.CrashCount(), crashing, harmless)
	assert.Equal(t, crashing, 2)
	assert.Equal(t, harmless, 0)
}

// TestTaskThatCrashesItsAgentTooIsGivenUp guards against uncounted crashes that end the worker's agent as well.
//
// The worker accepts the start and crashes 10 ms later, or 400 ms later while other work keeps starting. The agent ends at
// the same moment, so that the next agent finds the next incarnation and knows no other. While only crashes reported by
// agents were counted, 24 workers crashed in 37 s and neither job ended. Since each run lost with its worker counts, 10
// crash and both jobs are given up.
func TestTaskThatCrashesItsAgentTooIsGivenUp(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 3, Agents: 5}, binaries, t.ArtifactDir())
	assert.NilError(t, err)
	defer f.Close()
	for n, w := range f.workers {
		w.OnCrash(func() { f.agent(n).Signal(syscall.SIGKILL) })
	}
	c, stop := NewCaller(f, 1), make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { c.Run(150*time.Millisecond, stop) })
	for _, after := range []string{"", " after=400ms"} {
		id := c.addJob(job.Spec{Text: crashMarker + after + " work=800ms", Steps: []job.Step{demoStep(3, 800*time.Millisecond)}})
		assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(id) }))
	}
	<-time.After(20 * time.Second)
	close(stop)
	others.Wait()
	finished := f.awaitFinished(c, finishTimeout)
	crashing, harmless := f.checker.GivenUp()
	t.Logf("%s; %d workers crashed, %d crashing jobs given up, %d others", f.checker.Counts(), f.checker.CrashCount(), crashing, harmless)
	assert.NilError(t, f.checker.verify())
	assert.NilError(t, finished)
	assert.Equal(t, crashing, 2)
	assert.Equal(t, harmless, 0)
}
