package runner

import (
	"context"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// recordEnd queues the end of an incarnation for the leader: a crash, unless the worker had reported that it would leave. An incarnation that
// never answered is not reported, since an unknown sender may have invented it.
func (r *Runner) recordEnd(w *workerState) {
	if w.endRecorded || w.views == 0 {
		return
	}
	w.endRecorded = true
	crash := link.Crash{Instance: w.id.Worker(), StartMillis: w.id.StartMillis(), Planned: w.deregistered || w.report.Draining}
	if !crash.Planned {
		crash.Runs = r.crashedRuns(w)
	}
	crash.Next = w.sharedRuns()
	for _, discarded := range r.crashes.add(crash, w.firstFailure) {
		r.logger.Warn("crash discarded before a leader committed it; instance=%s runs=%d", discarded.crash.Instance, len(discarded.crash.Runs))
	}
	r.crashes.deferLatest(w.possibleRuns)
}

// crashedRuns returns the runs that an incarnation may have had when it crashed. A crash without runs is reported too: work that the leader
// placed there but that never arrived is then not lost.
func (r *Runner) crashedRuns(w *workerState) []link.CrashedRun {
	runs := w.possibleRuns.runsAtEnd(time.Now())
	crashed := make([]link.CrashedRun, 0, len(runs))
	for _, run := range runs {
		if w.runsOnNext[run] {
			// The run was started on the next incarnation, after the crash.
			continue
		}
		known := w.possibleRuns[run]
		age := known.ageAt(w.firstFailure).Milliseconds()
		settled := known.listed() && w.orders[run] == nil && !r.startOutstanding(w, run)
		r.logger.Info("worker crashed under a run; task=%s run=%d instance=%s answered=%t settled=%t age_ms=%d",
			run.Task, run.Number, w.id, known.answered, settled, age)
		crashed = append(crashed, link.CrashedRun{Run: wireRun(run), Answered: known.answered, Settled: settled, AgeMillis: age})
	}
	r.logger.Warn("worker crashed; instance=%s runs=%d agent_age_ms=%d", w.id, len(runs), time.Since(r.startedAt).Milliseconds())
	return crashed
}

// maxCrashes is how many unacknowledged crashes an agent keeps: as many incarnations as a worker had in a minute in which each crashed at its start.
const maxCrashes = 20

// crashes are the ends of incarnations that no leader has committed yet.
type crashes struct {
	unacknowledged []pendingCrash
	lastNumber     uint64
}

// pendingCrash is a crash with the time of the first failed call to the worker, zero if unknown.
type pendingCrash struct {
	crash        link.Crash
	firstFailure time.Time
	// undecided are the runs that the incarnation had only if it carried out a start call which is still in progress.
	undecided map[link.Run]bool
}

// millisSince returns how long ago the first call failed, 0 for none; it is at least 1 otherwise.
func millisSince(failedAt time.Time) int64 {
	if failedAt.IsZero() {
		return 0
	}
	return max(time.Since(failedAt).Milliseconds(), 1)
}

// compose returns all unacknowledged crashes for a report sent now. From then on their runs no longer change, since the leader attributes a crash once:
// starts that are still undecided count as carried out.
func (c *crashes) compose() []link.Crash {
	var reported []link.Crash
	for i := range c.unacknowledged {
		c.unacknowledged[i].undecided = nil
		p := c.unacknowledged[i]
		p.crash.FirstFailureMillis = millisSince(p.firstFailure)
		reported = append(reported, p.crash)
	}
	return reported
}

// add keeps a crash until a leader has committed it, and returns the crashes discarded to make room for it.
func (c *crashes) add(crash link.Crash, firstFailure time.Time) []pendingCrash {
	c.lastNumber++
	crash.Number = c.lastNumber
	c.unacknowledged = append(c.unacknowledged, pendingCrash{crash: crash, firstFailure: firstFailure})
	extra := max(len(c.unacknowledged)-maxCrashes, 0)
	discarded := c.unacknowledged[:extra:extra]
	c.unacknowledged = slices.Clone(c.unacknowledged[extra:])
	return discarded
}

// deferLatest marks the runs of the latest crash whose start calls are still in progress.
func (c *crashes) deferLatest(runs runSet) {
	latest := &c.unacknowledged[len(c.unacknowledged)-1]
	for _, reported := range latest.crash.Runs {
		if run, ok := parseRun(reported.Run); ok && runs[run] != nil && runs[run].undecided() {
			if latest.undecided == nil {
				latest.undecided = make(map[link.Run]bool)
			}
			latest.undecided[reported.Run] = true
		}
	}
}

// decide records whether an incarnation that has ended may have had a run whose start call was in progress, and reports whether that removes the run
// from its crash.
func (c *crashes) decide(id incarnation.ID, run link.Run, possible bool) bool {
	for i := range c.unacknowledged {
		p := &c.unacknowledged[i]
		if p.crash.Incarnation() != id || !p.undecided[run] {
			continue
		}
		delete(p.undecided, run)
		if !possible {
			p.crash.Runs = slices.DeleteFunc(p.crash.Runs, func(r link.CrashedRun) bool { return r.Run == run })
			return true
		}
	}
	return false
}

// undecided reports whether a crash has runs whose start calls are still in progress.
func (c *crashes) undecided() bool {
	return slices.ContainsFunc(c.unacknowledged, func(p pendingCrash) bool { return len(p.undecided) > 0 })
}

// awaitStartOutcomes waits until the start calls that were in progress when an incarnation ended have an outcome, at most for the timeout of a first
// attempt: the renewal that shows the end is often answered before them, and a start that another incarnation has rejected is no cause of the crash.
func (r *Runner) awaitStartOutcomes(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, r.startTimeout.First())
	defer cancel()
	for {
		r.mu.Lock()
		undecided := r.crashes.undecided()
		r.mu.Unlock()
		if !undecided || bounded.Err() != nil {
			return
		}
		select {
		case <-bounded.Done():
		case <-r.startDecided:
		}
	}
}

// acknowledge removes the crashes that a leader has committed, up to a number.
func (c *crashes) acknowledge(number uint64) {
	c.unacknowledged = slices.DeleteFunc(c.unacknowledged, func(p pendingCrash) bool { return p.crash.Number <= number })
}
