package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/host"
)

// possibleRun is a run that the worker was asked to start and that is not known to have ended.
type possibleRun struct {
	// sentAt is when the start was first sent, listedAt when the worker last listed the run.
	sentAt   time.Time
	listedAt time.Time
	// answered reports whether the worker had the run: it accepted the start or listed the run. listings counts the views that list it since the
	// latest start was sent.
	answered bool
	listings int
}

// age returns for how long the worker is known to have had the run.
func (p *possibleRun) age() time.Duration { return max(p.listedAt.Sub(p.sentAt), 0) }

// ageAt returns for how long the worker had had the run at a time, usually that of the first failed call; a zero time is ignored.
func (p *possibleRun) ageAt(at time.Time) time.Duration { return max(p.age(), at.Sub(p.sentAt)) }

// runSet holds the runs that one incarnation of the worker may have.
type runSet map[host.Run]*possibleRun

// listed reports whether the incarnation has listed the run since the latest start for it was answered.
func (p *possibleRun) listed() bool { return p.listings >= viewsAfterEvent }

// viewsAfterEvent is how many views must follow an event until one of them was requested after it.
const viewsAfterEvent = 2

// fresh reports whether a run is not known to have survived its startup.
func (p runSet) fresh(run host.Run) bool { return p[run] != nil && p[run].age() < crash.StartupTime }

// recordStart records that a start is about to be sent.
func (p runSet) recordStart(run host.Run) { p.entry(run).listings = 0 }

// entry returns the entry of a run, which it creates if there is none.
func (p runSet) entry(run host.Run) *possibleRun {
	if p[run] == nil {
		p[run] = &possibleRun{sentAt: time.Now()}
	}
	return p[run]
}

// recordAccepted records that the worker accepted a start.
func (p runSet) recordAccepted(run host.Run) {
	if known := p[run]; known != nil {
		known.answered = true
	}
}

// applyView updates the runs from a view. A run that is not listed once its start has expired is removed: a start given up with the leader that
// ordered it would otherwise reserve capacity without end.
func (p runSet) applyView(view host.View, now time.Time) {
	for _, running := range view.Running {
		known := p.entry(running.Run)
		known.answered, known.listedAt = true, now
		known.listings++
	}
	for _, e := range view.Ended {
		delete(p, e.Run)
	}
	for run, known := range p {
		if known.listedAt.Before(now) && now.Sub(known.sentAt) >= runLease {
			delete(p, run)
		}
	}
}

// removeUnanswered removes a run whose start did not reach the worker or was refused, unless an earlier start of it was answered: a leader that misses
// a run orders it again, even one under which the worker has just crashed.
func (p runSet) removeUnanswered(run host.Run) {
	if known := p[run]; known != nil && !known.answered {
		delete(p, run)
	}
}

// recordFailedStart records an attempt to start a run that got no answer or did not reach the worker.
func (r *Runner) recordFailedStart(w *workerState, run host.Run, o *order, unanswered, outcomeUnknown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.inFlight = false
	if unanswered {
		r.recordLateStart(w.id, run, time.Now())
	}
	if !outcomeUnknown {
		w.possibleRuns.removeUnanswered(run)
	}
}

// runsAtEnd returns the runs that the incarnation may have had when it ended: those that it had, and those whose start was sent too recently to have
// expired.
func (p runSet) runsAtEnd(now time.Time) []host.Run {
	var runs []host.Run
	for run, known := range p {
		if known.answered || now.Sub(known.sentAt) < runLease {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b host.Run) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return runs
}
