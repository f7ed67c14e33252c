package fleet

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// composedDisturbances are sequences of faults that single draws rarely give. They are drawn with a generator of their own, and only by soaks with
// Composed set.
var composedDisturbances = []disturbance{
	{"worker lost before all entries are killed", func(f *Fleet, n int, d time.Duration) {
		w := f.worker(n)
		w.SetSilent(true)
		w.Crash()
		<-time.After(d / 4)
		f.killEntries()
		<-time.After(d)
		w.SetSilent(false)
	}},
	{"entry reads its settings while it stops", func(f *Fleet, n int, d time.Duration) { reloadWhileStopping(f.entry(n), d) }},
	{"agent reads its settings while it stops", func(f *Fleet, n int, d time.Duration) { reloadWhileStopping(f.agent(n), d) }},
	{"workers fail what they start", func(f *Fleet, n int, d time.Duration) {
		const workers = 3
		for i := range workers {
			f.worker(n + i).SetFailing(true)
		}
		<-time.After(d)
		for i := range workers {
			f.worker(n + i).SetFailing(false)
		}
	}},
}

// killEntries kills all entries at once.
func (f *Fleet) killEntries() {
	for _, e := range f.entries {
		e.Signal(syscall.SIGKILL)
	}
}

// reloadWhileStopping stops a process and lets it read its settings several times before it ends.
func reloadWhileStopping(p *Process, d time.Duration) {
	const reloads = 4
	p.Signal(syscall.SIGTERM)
	for range reloads {
		<-time.After(d / reloads / 2)
		p.Reload()
	}
}

const (
	// lastingTasks is the number of tasks of the long-running job of a composed soak.
	lastingTasks = 4
	// lostTaskLimit is the time after the last fault within which a long-running task runs again if a worker has capacity for it.
	lostTaskLimit = 10 * time.Second
)

// submitLasting submits a long-running job and waits until all of its tasks run.
func (f *Fleet) submitLasting(c *Caller) (job.ID, error) {
	step := demoStep(lastingTasks, time.Second)
	step.LongRunning = true
	id := c.addJob(job.Spec{Text: "work=1s", Steps: []job.Step{step}})
	if err := f.await(completionTimeout, func() bool { return c.submit(id) }); err != nil {
		return id, err
	}
	return id, f.awaitLasting(id, completionTimeout)
}

func (f *Fleet) awaitLasting(id job.ID, timeout time.Duration) error {
	return f.await(timeout, func() bool { return f.checker.running(id) == lastingTasks })
}

// loseWorker loses a worker with long-running tasks permanently, in some soaks with its agent or its VM, and then all entries, and returns an error if
// the tasks do not run elsewhere within lostTaskLimit.
func (f *Fleet) loseWorker(s Soak, lasting job.ID) error {
	if err := f.awaitLasting(lasting, completionTimeout); err != nil {
		return fmt.Errorf("%d of %d long-running tasks run before a worker is lost", f.checker.running(lasting), lastingTasks)
	}
	random := rand.New(rand.NewPCG(s.Seed, 16))
	first := random.IntN(len(f.workers))
	n := first
	for f.worker(n).runsOf(lasting) == 0 {
		n++
	}
	pause := func() { <-time.After(time.Duration(random.IntN(1500)) * time.Millisecond) }
	s.Logf("%s is lost with %d long-running tasks", f.worker(n).name, f.worker(n).runsOf(lasting))
	f.worker(n).SetSilent(true)
	f.worker(n).Crash()
	pause()
	switch random.IntN(3) {
	case 0:
		s.Logf("its agent is killed")
		f.agent(n).Signal(syscall.SIGKILL)
	case 1:
		s.Logf("its VM is removed")
		f.agent(n).remove(syscall.SIGKILL)
	}
	pause()
	s.Logf("all entries are killed")
	f.killEntries()
	<-time.After(restartDelay)
	killedAt := time.Now()
	if err := f.awaitLasting(lasting, lostTaskLimit); err != nil {
		return fmt.Errorf("%d of %d long-running tasks run %v after a worker was lost", f.checker.running(lasting), lastingTasks, lostTaskLimit)
	}
	s.Logf("they run elsewhere after %v", time.Since(killedAt))
	return nil
}
