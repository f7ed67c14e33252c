package runner

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/link"
)

// recordEnd records the end of an incarnation for the leader: by a crash, unless the worker had reported that it would leave. One that never
// answered may be an invention of an unknown sender.
func (r *Runner) recordEnd(w *workerState) {
	if w.reported || w.views == 0 {
		return
	}
	w.reported = true
	told := link.Crash{Instance: w.id.Worker(), StartMillis: w.id.StartMillis(), Planned: w.left || w.report.Draining}
	if !told.Planned {
		told.Runs = r.crashedUnder(w)
	}
	for _, forgotten := range r.crashes.add(told, w.broken) {
		r.logger.Warn("a crash is forgotten that no lead has committed; instance=%s runs=%d", forgotten.crash.Instance, len(forgotten.crash.Runs))
	}
}

// crashedUnder returns the runs that an incarnation may have had when it crashed. A crash under none is reported too: the leader may have
// placed work there that never arrived, which is not lost with it then.
func (r *Runner) crashedUnder(w *workerState) []link.CrashedRun {
	runs := w.begun.left(time.Now())
	told := make([]link.CrashedRun, 0, len(runs))
	for _, run := range runs {
		if w.onNext[run] {
			// The crash was before it began.
			continue
		}
		b := w.begun[run]
		age := b.ageAt(w.broken).Milliseconds()
		settled := b.listed() && w.orders[run] == nil && !r.late.Has(lateStart{worker: w.id.Worker(), run: run}, time.Now())
		r.logger.Info("the worker crashed under a run; task=%s run=%d instance=%s answered=%t settled=%t age_ms=%d",
			run.Task, run.Number, w.id, b.answered, settled, age)
		told = append(told, link.CrashedRun{Run: wireRun(run), Answered: b.answered, Settled: settled, AgeMillis: age})
	}
	r.logger.Warn("the worker crashed; instance=%s runs=%d", w.id, len(runs))
	return told
}

// mostCrashes is how many crashes an agent keeps for the lead: as many lives as a worker had in a minute in which each was
// crashed as it began.
const mostCrashes = 20

// crashes are those that no lead has committed yet.
type crashes struct {
	untold []untold
	number uint64
}

// untold is a crash with when the calls to the worker broke off, zero where that is not known.
type untold struct {
	crash  link.Crash
	broken time.Time
}

// brokenMillis returns how long ago calls broke off, 0 where they did not.
func brokenMillis(broken time.Time) int64 {
	if broken.IsZero() {
		return 0
	}
	return max(time.Since(broken).Milliseconds(), 1)
}

// tell returns all of them as of now.
func (c *crashes) tell() []link.Crash {
	var told []link.Crash
	for _, u := range c.untold {
		u.crash.FirstFailureMillis = brokenMillis(u.broken)
		told = append(told, u.crash)
	}
	return told
}

// add keeps a crash until a lead has committed it, and returns those that are forgotten for it.
func (c *crashes) add(told link.Crash, broken time.Time) []untold {
	c.number++
	told.Number = c.number
	c.untold = append(c.untold, untold{crash: told, broken: broken})
	extra := max(len(c.untold)-mostCrashes, 0)
	forgotten := c.untold[:extra:extra]
	c.untold = slices.Clone(c.untold[extra:])
	return forgotten
}

// committed forgets what a lead has committed.
func (c *crashes) committed(number uint64) {
	c.untold = slices.DeleteFunc(c.untold, func(u untold) bool { return u.crash.Number <= number })
}
