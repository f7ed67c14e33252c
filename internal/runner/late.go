package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// lateStart is a start that got no answer, by the id of the worker that it was sent to.
type lateStart struct {
	worker string
	run    host.Run
}

// recordLateStart records a start that got no answer. A later incarnation under the same id may carry it out too.
func (r *Runner) recordLateStart(id incarnation.ID, run host.Run, now time.Time) {
	r.lateStarts.Add(lateStart{worker: id.Worker(), run: run}, now)
}

// lateStartDelay returns for how long after its stop a run is not reported as refused: the stop binds one incarnation, and a start that got no answer
// may be carried out by the next. That takes up to host.LateFor, so it is waited for only where the worker has returned under an id before, and not
// for a lasting task, which would be away for longer than its callers bear.
func (r *Runner) lateStartDelay(w *workerState, run host.Run) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded, late := r.lateStarts[lateStart{worker: w.id.Worker(), run: run}]
	if !late || !r.idReused || w.profiles[run].LongRunning {
		return 0
	}
	return time.Until(recorded.Add(host.MaxCallDelay))
}

// lateStartRuns returns the runs that an incarnation may still be given by late starts, in order.
func (r *Runner) lateStartRuns(id incarnation.ID, now time.Time) []host.Run {
	var runs []host.Run
	for s := range r.lateStarts {
		if s.worker == id.Worker() && r.lateStarts.Has(s, now) {
			runs = append(runs, s.run)
		}
	}
	slices.SortFunc(runs, func(a, b host.Run) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return runs
}
