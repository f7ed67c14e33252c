package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/host"
)

// begun is a run that the worker was asked to start and that has not ended as far as the agent knows.
type begun struct {
	// asked is when the start was first sent, shown when the worker last listed the run.
	asked time.Time
	shown time.Time
	// answered says that the worker had the run: it accepted the start, or listed the run; views counts the lists that show it since a start for
	// it was sent last.
	answered bool
	views    int
}

// age is how long the worker is known to have had the run.
func (b *begun) age() time.Duration { return max(b.shown.Sub(b.asked), 0) }

// ageAt returns for how long the worker had the run when its calls broke off, where that is known.
func (b *begun) ageAt(broken time.Time) time.Duration { return max(b.age(), broken.Sub(b.asked)) }

// possible are the runs that one incarnation of the worker may have.
type possible map[host.Run]*begun

// listed reports whether the incarnation has listed the run after the latest start for it was answered.
func (b *begun) listed() bool { return b.views >= viewsToShow }

// viewsToShow is how many views there must be until one was asked for after an event.
const viewsToShow = 2

// fresh reports whether a run has not outlived its start as far as was seen.
func (b possible) fresh(run host.Run) bool { return b[run] != nil && b[run].age() < crash.StartupTime }

// ask records that a start is about to be sent.
func (b possible) ask(run host.Run) { b.entry(run).views = 0 }

// entry returns what is known of a run, with an entry of one that is new.
func (b possible) entry(run host.Run) *begun {
	if b[run] == nil {
		b[run] = &begun{asked: time.Now()}
	}
	return b[run]
}

// answer takes note that the worker accepted a start.
func (b possible) answer(run host.Run) {
	if known := b[run]; known != nil {
		known.answered = true
	}
}

// show takes note of what the worker lists. What it does not list once a start for it no longer counts is not there: a start that was
// given up with the lead that ordered it would take room for ever.
func (b possible) show(view host.View, now time.Time) {
	for _, running := range view.Running {
		known := b.entry(running.Run)
		known.answered, known.shown = true, now
		known.views++
	}
	for _, e := range view.Ended {
		delete(b, e.Run)
	}
	for run, known := range b {
		if known.shown.Before(now) && now.Sub(known.asked) >= holdTime {
			delete(b, run)
		}
	}
}

// drop takes note that a start did not reach the worker, or was refused. What an earlier start of the run was answered stands:
// a lead orders a run again that it does not see, also one under which the worker has just crashed.
func (b possible) drop(run host.Run) {
	if known := b[run]; known != nil && !known.answered {
		delete(b, run)
	}
}

// unanswered records an attempt to start a run that was not accepted: it got no answer, or did not reach the worker.
func (r *Runner) unanswered(w *workerState, run host.Run, unanswered, doubtful bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if unanswered {
		r.recordLate(w.id, run, time.Now())
	}
	if !doubtful {
		w.begun.drop(run)
	}
}

// left returns the runs that the incarnation may have had when it ended: those that it had, and those that were asked for no longer ago
// than a start counts.
func (b possible) left(now time.Time) []host.Run {
	var runs []host.Run
	for run, known := range b {
		if known.answered || now.Sub(known.asked) < holdTime {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b host.Run) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return runs
}
