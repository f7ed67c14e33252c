package fleet

import (
	"syscall"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// demoWithin bounds each step of the demonstration.
const demoWithin = 30 * time.Second

// Demo hands in a lookup and a mailing run, kills every entry but one while the mailing runs, and waits until both are completed.
func (f *Fleet) Demo(say func(format string, args ...any)) error {
	c := NewCaller(f, 1)
	lookup := c.submit(job.Spec{Text: "lookup work=200ms", Steps: []job.Step{demoStep(3, 200*time.Millisecond)}})
	mailing := job.Spec{Text: "mailing work=900ms", Steps: []job.Step{demoStep(4, 900*time.Millisecond), demoStep(4, 900*time.Millisecond)}}
	mailing.Steps[1].DependsOn = []int{0}
	run := c.submit(mailing)
	for name, id := range map[string]job.ID{"lookup": lookup, "mailing run": run} {
		if err := f.await(demoWithin, func() bool { return c.send(id) }); err != nil {
			return err
		}
		say("%s %s is accepted", name, id)
	}
	for _, p := range f.entries[1:] {
		p.Signal(syscall.SIGKILL)
		say("%s is killed", p.name)
	}
	if err := f.awaitFinished(c, demoWithin); err != nil {
		return err
	}
	say("both are completed: %s", f.books.Counts())
	return f.books.judge()
}

// demoStep returns a step of small tasks.
func demoStep(tasks int, work time.Duration) job.Step {
	return job.Step{Count: tasks, Size: job.Size{CPU: 1000, Memory: 500}, Estimate: work}
}
