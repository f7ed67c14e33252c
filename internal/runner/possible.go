package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/wait"
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
	// startCalls counts the start calls sent.
	startCalls int
	// inProgress counts the start calls without an outcome yet, unanswered reports whether one got no answer: the worker may have carried it out.
	inProgress int
	unanswered bool
}

// undecided reports whether only start calls that are still in progress show that the incarnation may have had the run.
func (p *possibleRun) undecided() bool { return p.inProgress > 0 && !p.answered && !p.unanswered }

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
func (p runSet) recordStart(run host.Run) {
	known := p.entry(run)
	known.listings = 0
	known.startCalls++
	known.inProgress++
}

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

// applyView updates the runs from a view of the renewal loop, and counts the listings.
func (p runSet) applyView(view host.View, now time.Time) {
	p.update(view, now)
	for _, running := range view.Running {
		if known := p[running.Run]; known != nil {
			known.listings++
		}
	}
}

// update updates the runs from a view. A run that a complete view does not list once its start has expired is removed: a start given up with the
// leader that ordered it would otherwise reserve capacity without end.
func (p runSet) update(view host.View, now time.Time) {
	for _, running := range view.Running {
		known := p.entry(running.Run)
		known.answered, known.listedAt = true, now
	}
	for _, e := range view.Ended {
		delete(p, e.Run)
	}
	if view.MoreEnds {
		return
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

// startOutcome is what the end of a start call shows.
type startOutcome int

// The outcomes of a start call.
const (
	startCarriedOut startOutcome = iota
	// startUnanswered stands for a call that the worker may have carried out, or may still carry out.
	startUnanswered
	// startNotCarriedOut stands for a call that was not sent, that another incarnation rejected, or that was refused.
	startNotCarriedOut
)

// startOutcomeOf returns the outcome of a start call from its result.
func startOutcomeOf(refusal host.Refusal, err error) startOutcome {
	switch {
	case fault.Is(err, fault.Stale), fault.Is(err, fault.Unavailable):
		return startNotCarriedOut
	case err != nil:
		return startUnanswered
	case refusal == host.Accepted, refusal == host.RefusedOld:
		// A worker that refuses a run as old may have had it.
		return startCarriedOut
	}
	return startNotCarriedOut
}

// recordOutcome records the end of a start call and removes the run if no start of it can have been carried out.
func (p runSet) recordOutcome(run host.Run, outcome startOutcome) {
	known := p[run]
	if known == nil {
		return
	}
	known.inProgress = max(known.inProgress-1, 0)
	known.unanswered = known.unanswered || outcome == startUnanswered
	if outcome == startNotCarriedOut && !known.unanswered && known.inProgress == 0 {
		p.removeUnanswered(run)
	}
}

// recordStartOutcome records the end of a start call, also for an incarnation whose end is recorded but not reported yet.
func (r *Runner) recordStartOutcome(w *workerState, run host.Run, outcome startOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if outcome == startUnanswered {
		r.recordLateStart(w.id, run, time.Now())
		w.unanswered.Add(run, time.Now())
	}
	w.startEnded(run)
	w.possibleRuns.recordOutcome(run, outcome)
	known := w.possibleRuns[run]
	if known != nil && known.undecided() {
		return
	}
	if r.crashes.decide(w.id, wireRun(run), known != nil) {
		r.logger.Info("start not carried out before the crash; task=%s run=%d instance=%s", run.Task, run.Number, w.id)
	}
	wait.Notify(r.startDecided)
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
