package runner

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/link"
)

// recordEnd records the end of an incarnation for the leader: by a crash, unless the worker had reported that it would leave. One that never
// answered may be an invention of an unknown sender.
func (r *Runner) recordEnd(w *workerState) {
	if w.endRecorded || w.views == 0 {
		return
	}
	w.endRecorded = true
	told := link.Crash{Instance: w.id.Worker(), StartMillis: w.id.StartMillis(), Planned: w.left || w.report.Draining}
	if !told.Planned {
		told.Runs = r.crashedRuns(w)
	}
	for _, forgotten := range r.crashes.add(told, w.firstFailure) {
		r.logger.Warn("a crash is forgotten that no lead has committed; instance=%s runs=%d", forgotten.crash.Instance, len(forgotten.crash.Runs))
	}
}

// crashedRuns returns the runs that an incarnation may have had when it crashed. A crash under none is reported too: the leader may have
// placed work there that never arrived, which is not lost with it then.
func (r *Runner) crashedRuns(w *workerState) []link.CrashedRun {
	runs := w.possibleRuns.runsAtEnd(time.Now())
	told := make([]link.CrashedRun, 0, len(runs))
	for _, run := range runs {
		if w.runsOnNext[run] {
			// The crash was before it began.
			continue
		}
		b := w.possibleRuns[run]
		age := b.ageAt(w.firstFailure).Milliseconds()
		settled := b.listed() && w.orders[run] == nil && !r.lateStarts.Has(lateStart{worker: w.id.Worker(), run: run}, time.Now())
		r.logger.Info("the worker crashed under a run; task=%s run=%d instance=%s answered=%t settled=%t age_ms=%d",
			run.Task, run.Number, w.id, b.answered, settled, age)
		told = append(told, link.CrashedRun{Run: wireRun(run), Answered: b.answered, Settled: settled, AgeMillis: age})
	}
	r.logger.Warn("the worker crashed; instance=%s runs=%d", w.id, len(runs))
	return told
}

// maxCrashes is how many crashes an agent keeps for the lead: as many lives as a worker had in a minute in which each was
// crashed as it began.
const maxCrashes = 20

// crashes are those that no lead has committed yet.
type crashes struct {
	unacknowledged []pendingCrash
	lastNumber     uint64
}

// pendingCrash is a crash with when the calls to the worker broke off, zero where that is not known.
type pendingCrash struct {
	crash        link.Crash
	firstFailure time.Time
}

// millisSince returns how long ago calls broke off, 0 where they did not.
func millisSince(broken time.Time) int64 {
	if broken.IsZero() {
		return 0
	}
	return max(time.Since(broken).Milliseconds(), 1)
}

// compose returns all of them as of now.
func (c *crashes) compose() []link.Crash {
	var told []link.Crash
	for _, u := range c.unacknowledged {
		u.crash.FirstFailureMillis = millisSince(u.firstFailure)
		told = append(told, u.crash)
	}
	return told
}

// add keeps a crash until a lead has committed it, and returns those that are forgotten for it.
func (c *crashes) add(told link.Crash, broken time.Time) []pendingCrash {
	c.lastNumber++
	told.Number = c.lastNumber
	c.unacknowledged = append(c.unacknowledged, pendingCrash{crash: told, firstFailure: broken})
	extra := max(len(c.unacknowledged)-maxCrashes, 0)
	forgotten := c.unacknowledged[:extra:extra]
	c.unacknowledged = slices.Clone(c.unacknowledged[extra:])
	return forgotten
}

// acknowledge forgets what a lead has acknowledge.
func (c *crashes) acknowledge(number uint64) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(u pendingCrash) bool { return u.crash.Number <= number })
}
