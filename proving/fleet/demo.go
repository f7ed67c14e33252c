package fleet

import (
	"syscall"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// demoStepTimeout bounds each step of the demonstration.
const demoStepTimeout = 30 * time.Second

// Demo submits a lookup and a mailing run, kills every entry but one while the mailing runs, and waits until both are
// completed.
func (f *Fleet) Demo(logf func(format string, args ...any)) error {
	c := NewCaller(f, 1)
	lookupID := c.addJob(job.Spec{Text: "lookup work=200ms", Steps: []job.Step{demoStep(3, 200*time.Millisecond)}})
	mailing := job.Spec{Text: "mailing work=900ms", Steps: []job.Step{demoStep(4, 900*time.Millisecond), demoStep(4, 900*time.Millisecond)}}
	mailing.Steps[1].DependsOn = []int{0}
	mailingID := c.addJob(mailing)
	for name, id := range map[string]job.ID{"lookup": lookupID, "mailing run": mailingID} {
		if err := f.await(demoStepTimeout, func() bool { return c.submit(id) }); err != nil {
			return err
		}
		logf("%s %s is accepted", name, id)
	}
	for _, p := range f.entries[1:] {
		p.Signal(syscall.SIGKILL)
		logf("%s is killed", p.name)
	}
	if err := f.awaitFinished(c, demoStepTimeout); err != nil {
		return err
	}
	logf("both are completed: %s", f.checker.Counts())
	return f.checker.verify()
}

// demoStep returns a step of small tasks.
func demoStep(tasks int, taskTime time.Duration) job.Step {
	return job.Step{Count: tasks, Size: job.Size{CPU: 1000, Memory: 500}, Estimate: taskTime}
}
