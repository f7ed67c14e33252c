package runner

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// lateStart is a start that got no answer, identified by the id of the worker that it was sent to.
type lateStart struct {
	worker string
	run    host.Run
}

// recordLateStart records a start that got no answer, which a later incarnation with the same id may still carry out.
func (r *Runner) recordLateStart(id incarnation.ID, run host.Run, now time.Time) {
	r.lateStarts.Add(lateStart{worker: id.Worker(), run: run}, now)
}

// startOutstanding reports whether a call that starts the run is in progress, or got no answer and may still be carried out.
func (r *Runner) startOutstanding(w *workerState, run host.Run) bool {
	return w.startsInFlight[run] > 0 || r.lateStarts.Has(lateStart{worker: w.id.Worker(), run: run}, time.Now())
}

// unsettledRuns returns the runs that a later incarnation with the id may carry out, or have carried out under the name of this one, sorted by task: those
// with an outstanding start, and those whose start was sent and that this incarnation has not listed since. A worker that reports no start time reuses no id.
func (r *Runner) unsettledRuns(w *workerState, now time.Time) []link.Run {
	if !w.mayReuseID() || w.idChanged {
		return nil
	}
	runs := make(map[host.Run]bool)
	for _, run := range r.lateStartRuns(w.id, now) {
		runs[run] = true
	}
	for run := range w.startsInFlight {
		runs[run] = true
	}
	for run, known := range w.possibleRuns {
		if !known.listed() && now.Sub(known.sentAt) <= host.MaxCallDelay {
			runs[run] = true
		}
	}
	for run, o := range w.orders {
		if o.start != nil && !o.final && !w.terminated {
			runs[run] = true
		}
	}
	return wireRuns(runs)
}

// wireRuns returns the wire form of runs, sorted.
func wireRuns(runs map[host.Run]bool) []link.Run {
	sorted := make([]link.Run, 0, len(runs))
	for run := range runs {
		sorted = append(sorted, wireRun(run))
	}
	slices.SortFunc(sorted, func(a, b link.Run) int {
		return cmp.Or(strings.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
	return sorted
}

// withdrawnRuns returns the runs that this incarnation rejects, since they were stopped or have ended, while a start of them that was sent to it is
// outstanding, sorted.
func (w *workerState) withdrawnRuns(now time.Time) []link.Run {
	if !w.mayReuseID() || w.idChanged {
		return nil
	}
	runs := make(map[host.Run]bool)
	withdrawn := func(run host.Run) bool {
		o := w.orders[run]
		return w.possibleRuns[run] == nil && (o == nil || o.final)
	}
	for run := range w.unanswered {
		if w.unanswered.Has(run, now) && withdrawn(run) {
			runs[run] = true
		}
	}
	for run := range w.startsInFlight {
		if withdrawn(run) {
			runs[run] = true
		}
	}
	return wireRuns(runs)
}

// lateStartDelay returns how long after its stop a run is not reported as refused: the stop binds one incarnation, while the next may still carry out
// a start that got no answer, for up to host.MaxCallDelay. The delay applies only if the worker has reused an id before, and not to a long-running
// task, which would be down for longer than its callers can tolerate.
func (r *Runner) lateStartDelay(w *workerState, run host.Run) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordedAt, known := r.lateStarts[lateStart{worker: w.id.Worker(), run: run}]
	if !known || !r.idReused || w.profiles[run].LongRunning {
		return 0
	}
	return time.Until(recordedAt.Add(host.MaxCallDelay))
}

// awaitLateStart waits after a stop until no start of the run can be carried out any more.
func (r *Runner) awaitLateStart(ctx context.Context, w *workerState, run host.Run) {
	delay := r.lateStartDelay(w, run)
	if delay <= 0 {
		return
	}
	r.logger.Info("report of a stop delayed until no start of the run can be carried out; task=%s run=%d instance=%s delay_ms=%d",
		run.Task, run.Number, w.id, delay.Milliseconds())
	wait.For(ctx, delay)
}

// lateStartRuns returns the runs that late starts may still start on an incarnation, sorted by task.
func (r *Runner) lateStartRuns(id incarnation.ID, now time.Time) []host.Run {
	var runs []host.Run
	for start := range r.lateStarts {
		if start.worker == id.Worker() && r.lateStarts.Has(start, now) {
			runs = append(runs, start.run)
		}
	}
	slices.SortFunc(runs, func(a, b host.Run) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return runs
}
