package fleet

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// TestTaskThatCrashesItsWorkersIsGivenUp plays what the users saw: their jobs stayed `running` for minutes and most other work
// failed, since two tasks were started again at once on each life of a worker that they had just crashed, some forty times.
//
// Order of events: a worker accepts the start, crashes ten milliseconds later with all that it runs, and is back after 1.5 s
// under a new name; its agent tells the lead of the new life; the lead takes the end of the old one as nobody's fault, so that
// all its runs wait again and are placed in the same plan, on the life that has just begun.
//
// Proof of the cause: run numbers that rose by one with each life under one and the same lead, 19 ms between the end and the
// next placement in its log, and a stored progress that had nothing in which a crash could be counted.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 3, Agents: 5}, binaries, t.TempDir())
	assert.NilError(t, err)
	defer f.Close()
	c, stop := NewCaller(f, 1), make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { c.Run(300*time.Millisecond, stop) })
	for n := range 2 {
		crashing := c.addJob(job.Spec{Text: crashMarker + " work=500ms", Steps: []job.Step{demoStep(3, 500*time.Millisecond)}})
		assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(crashing) }))
		// What was counted must be known to the next lead.
		<-time.After(3 * time.Second)
		f.entry(n).Signal(syscall.SIGKILL)
	}
	<-time.After(5 * time.Second)
	close(stop)
	others.Wait()
	finished := f.awaitFinished(c, finishTimeout)
	assert.NilError(t, f.checker.verify())
	assert.NilError(t, finished)
	rightly, wrongly := f.checker.GivenUp()
	t.Logf("%s; %d workers crashed, %d jobs given up that crash workers, %d others", f.checker.Counts(), f.checker.CrashCount(), rightly, wrongly)
	assert.Equal(t, rightly, 2)
	assert.Equal(t, wrongly, 0)
}

// TestTaskThatCrashesItsAgentTooIsGivenUp plays what was left of that: a VM on which a task crashed the worker, and the agent with
// it, began anew with the same task.
//
// Order of events: a worker accepts the start and crashes 10 ms later, or 400 ms later beside work that begins all the time; its
// agent ends at that moment, so that the next one finds the next life and knows of no other.
//
// Cause: only an agent's word of a crash was counted. Evidence: 24 workers crashed in 37 s and neither job ended; since each run that is
// lost with its worker counts by itself, ten crash, and both are given up.
func TestTaskThatCrashesItsAgentTooIsGivenUp(t *testing.T) {
	t.Parallel()
	f, err := New(Size{Entries: 3, Agents: 5}, binaries, t.TempDir())
	assert.NilError(t, err)
	defer f.Close()
	for n, w := range f.workers {
		w.OnCrash(func() { f.agent(n).Signal(syscall.SIGKILL) })
	}
	c, stop := NewCaller(f, 1), make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { c.Run(150*time.Millisecond, stop) })
	for _, after := range []string{"", " after=400ms"} {
		crashes := c.addJob(job.Spec{Text: crashMarker + after + " work=800ms", Steps: []job.Step{demoStep(3, 800*time.Millisecond)}})
		assert.NilError(t, f.await(finishTimeout, func() bool { return c.submit(crashes) }))
	}
	<-time.After(20 * time.Second)
	close(stop)
	others.Wait()
	finished := f.awaitFinished(c, finishTimeout)
	rightly, wrongly := f.checker.GivenUp()
	t.Logf("%s; %d workers crashed, %d jobs given up that crash workers, %d others", f.checker.Counts(), f.checker.CrashCount(), rightly, wrongly)
	assert.NilError(t, f.checker.verify())
	assert.NilError(t, finished)
	assert.Equal(t, rightly, 2)
	assert.Equal(t, wrongly, 0)
}
