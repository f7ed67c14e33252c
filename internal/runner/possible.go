package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/host"
)

// possibleRun is a run that the worker was asked to start and that has not ended as far as the agent knows.
type possibleRun struct {
	// sentAt is when the start was first sent, shown when the worker last listed the run.
	sentAt   time.Time
	listedAt time.Time
	// answered says that the worker had the run: it accepted the start, or listed the run; views counts the lists that show it since a start for
	// it was sent last.
	answered bool
	listings int
}

// age is how long the worker is known to have had the run.
func (b *possibleRun) age() time.Duration { return max(b.listedAt.Sub(b.sentAt), 0) }

// ageAt returns for how long the worker had the run when its calls broke off, where that is known.
func (b *possibleRun) ageAt(at time.Time) time.Duration { return max(b.age(), at.Sub(b.sentAt)) }

// possible are the runs that one incarnation of the worker may have.
type possible map[host.Run]*possibleRun

// listed reports whether the incarnation has listed the run after the latest start for it was answered.
func (b *possibleRun) listed() bool { return b.listings >= viewsAfterEvent }

// viewsAfterEvent is how many views there must be until one was asked for after an event.
const viewsAfterEvent = 2

// fresh reports whether a run has not outlived its start as far as was seen.
func (b possible) fresh(run host.Run) bool { return b[run] != nil && b[run].age() < crash.StartupTime }

// recordStart records that a start is about to be sent.
func (b possible) recordStart(run host.Run) { b.entry(run).listings = 0 }

// entry returns what is known of a run, with an entry of one that is new.
func (b possible) entry(run host.Run) *possibleRun {
	if b[run] == nil {
		b[run] = &possibleRun{sentAt: time.Now()}
	}
	return b[run]
}

// recordAccepted takes note that the worker accepted a start.
func (b possible) recordAccepted(run host.Run) {
	if known := b[run]; known != nil {
		known.answered = true
	}
}

// applyView takes note of what the worker lists. What it does not list once a start for it no longer counts is not there: a start that was
// given up with the lead that ordered it would take room for ever.
func (b possible) applyView(view host.View, now time.Time) {
	for _, running := range view.Running {
		known := b.entry(running.Run)
		known.answered, known.listedAt = true, now
		known.listings++
	}
	for _, e := range view.Ended {
		delete(b, e.Run)
	}
	for run, known := range b {
		if known.listedAt.Before(now) && now.Sub(known.sentAt) >= runLease {
			delete(b, run)
		}
	}
}

// removeUnanswered takes note that a start did not reach the worker, or was refused. What an earlier start of the run was answered stands:
// a lead orders a run again that it does not see, also one under which the worker has just crashed.
func (b possible) removeUnanswered(run host.Run) {
	if known := b[run]; known != nil && !known.answered {
		delete(b, run)
	}
}

// recordFailedStart records an attempt to start a run that was not accepted: it got no answer, or did not reach the worker.
func (r *Runner) recordFailedStart(w *workerState, run host.Run, unanswered, doubtful bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if unanswered {
		r.recordLateStart(w.id, run, time.Now())
	}
	if !doubtful {
		w.possibleRuns.removeUnanswered(run)
	}
}

// runsAtEnd returns the runs that the incarnation may have had when it ended: those that it had, and those that were asked for no longer ago
// than a start counts.
func (b possible) runsAtEnd(now time.Time) []host.Run {
	var runs []host.Run
	for run, known := range b {
		if known.answered || now.Sub(known.sentAt) < runLease {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b host.Run) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return runs
}
