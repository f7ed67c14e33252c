package runner

import (
	"context"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// workerState is all that the agent knows of one incarnation of the worker; it is replaced whole by that of the next.
type workerState struct {
	id     incarnation.ID
	report host.Report
	// unknownService says that no configuration names the service of the report, as the lead tells.
	unknownService bool
	// clock is the worker's clock as of read, by which it had reached that.
	clock       host.Clock
	clockReadAt time.Time
	// highestFence is the highest fence that the incarnation has answered under.
	highestFence uint64
	// answeredAt is when the worker answeredAt last, until when its runs may go on at the latest by this clock.
	answeredAt time.Time
	leaseEnd   time.Time
	// confirmedAt is when the latest answer of this incarnation came, zero once a call has failed since.
	confirmedAt boottime.Instant
	// firstFailure is when the calls to the worker began to break off, zero while they do not.
	firstFailure time.Time
	// view is what the worker showed last, views counts what it showed, seen is up to which number the lead has its ends.
	view             host.View
	views            uint64
	acknowledgedEnds uint64
	silent           bool
	// terminated says that the worker has another incarnation, gone that this one has another id, left that it ended by plan, reported that its
	// end was recorded for the leader.
	terminated bool
	idChanged  bool
	// runsOnNext are runs that the next incarnation under the same id has: their starts reached that one.
	runsOnNext  map[host.Run]bool
	left        bool
	endRecorded bool
	orders      map[host.Run]*order
	// possibleRuns are the runs that it may have.
	possibleRuns possible
	// refused is the highest run of each task that was refused; an order for it that comes again is not carried out.
	refused  map[job.TaskID]int
	profiles map[host.Run]link.Profile
	paces    map[host.Run]int
	// targetPaces is the pace by image, presses what the lead told of the images that fill, adjusted when the paces were last
	// reckoned.
	targetPaces  map[string]int
	interference map[string]map[string]float64
	pacesSetAt   time.Time
	// violations is since when serving tasks have been violations their targets.
	violations map[host.Run]time.Time
	// trackers follow the headrooms of serving tasks; used is the share of the worker that each image that fills used last.
	trackers   map[host.Run]*pressure.Tracker
	usedShares map[string]float64
	// loadFrequency is how fast the loads of serving tasks loadFrequency, as the lead tells, 0 before that.
	loadFrequency float64
	// backlog is how backlog batch is, as the lead tells, from 0 to 1.
	backlog float64
	// loads are those of serving steps, as the lead tells; owns follow by how much single tasks are off them.
	loads     map[string]pressure.Load
	residuals map[host.Run]*pressure.Residual
}

// order is a start or a stop that is under way, or whose end is still to be told.
type order struct {
	start  *link.Start
	text   string
	stop   bool
	cancel context.CancelFunc
	// refused is why the worker will never run it, with the number of views taken by then.
	refused        host.Refusal
	final          bool
	viewsAtRefusal uint64
}

// newWorkerState returns an incarnation of which only its first report is known.
func newWorkerState(report host.Report, now time.Time) *workerState {
	return &workerState{
		id: report.Incarnation, report: report, clock: report.Clock, clockReadAt: now, answeredAt: now,
		orders: make(map[host.Run]*order), possibleRuns: make(possible), refused: make(map[job.TaskID]int),
		profiles: make(map[host.Run]link.Profile), paces: make(map[host.Run]int),
		violations: make(map[host.Run]time.Time), trackers: make(map[host.Run]*pressure.Tracker),
		residuals: make(map[host.Run]*pressure.Residual),
	}
}

// updateReport stores a newer report of the incarnation and reports whether it did. A draining worker never becomes ready again.
func (w *workerState) updateReport(report host.Report) bool {
	if report.Sequence < w.report.Sequence {
		return false
	}
	report.Draining = report.Draining || w.report.Draining
	w.report = report
	return true
}

// removeStopped forgets runs whose stop was answered before the last views were asked for. Until then a later incarnation may have answered it, and the
// present one may have crashed under the run.
func (w *workerState) removeStopped() {
	for run, o := range w.orders {
		if o.final && o.refused == host.RefusedOld && o.coveredBy(w.views) {
			delete(w.possibleRuns, run)
		}
	}
}

// prune forgets refused orders of which the view shows how their runs ended, and profiles of runs that are no more.
func (w *workerState) prune() {
	for _, e := range w.view.Ended {
		if o := w.orders[e.Run]; o != nil && o.final {
			delete(w.orders, e.Run)
		}
	}
	present := make(map[host.Run]bool, len(w.view.Running))
	for _, running := range w.view.Running {
		present[running.Run] = true
	}
	for run := range w.profiles {
		if !present[run] && w.orders[run] == nil {
			delete(w.profiles, run)
			delete(w.violations, run)
			delete(w.trackers, run)
			delete(w.residuals, run)
			delete(w.paces, run)
		}
	}
}

// coveredBy reports whether the latest view was asked for after the refusal, so that it shows how the run ended if it did.
func (o *order) coveredBy(views uint64) bool { return views >= o.viewsAtRefusal+viewsAfterEvent }

// awaitsView reports whether the end of a stop is not reported yet because a view is missing. A task that waits for it runs nowhere.
func (w *workerState) awaitsView() bool {
	for _, o := range w.orders {
		if o.stop && o.final && !o.coveredBy(w.views) {
			return true
		}
	}
	return false
}

// lists reports whether the latest view lists a run.
func (w *workerState) lists(run host.Run) bool {
	return slices.ContainsFunc(w.view.Running, func(r host.Running) bool { return r.Run == run })
}

// recordNextRuns records the runs that the next incarnation shows, at work or ended, where calls meant for this one reach it.
func (w *workerState) recordNextRuns(view host.View) {
	if !view.Incarnation.SameWorker(w.id) {
		return
	}
	w.runsOnNext = make(map[host.Run]bool, len(view.Running)+len(view.Ended))
	for _, running := range view.Running {
		w.runsOnNext[running.Run] = true
	}
	for _, e := range view.Ended {
		w.runsOnNext[e.Run] = true
	}
}

// cancelOrders forgets the orders of an earlier leader; the worker refuses them once it has seen the new fence.
func (w *workerState) cancelOrders() {
	for run, o := range w.orders {
		o.cancel()
		delete(w.orders, run)
	}
}

// addProfiles keeps what the lead tells of runs.
func (w *workerState) addProfiles(profiles []link.Profile) {
	for _, p := range profiles {
		if run, ok := parseRun(p.Run); ok {
			w.profiles[run] = p
		}
	}
}

// refuse marks that the worker will never run what the order starts.
func (o *order) refuse(w *workerState, run host.Run, why host.Refusal) {
	w.possibleRuns.removeUnanswered(run)
	w.refused[run.Task] = max(w.refused[run.Task], run.Number)
	o.refused, o.final, o.viewsAtRefusal = why, true, w.views
}
