package runner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// workerState is the state of one incarnation of the worker; the next incarnation gets a new one.
type workerState struct {
	id     incarnation.ID
	report host.Report
	// unknownService reports whether no configuration names the service of the report, as reported by the leader.
	unknownService bool
	// clock is a reading of the worker's clock, taken no later than clockReadAt.
	clock       host.Clock
	clockReadAt time.Time
	// highestFence is the highest fence under which the incarnation has answered.
	highestFence uint64
	// answeredAt is when the worker answered last, leaseEnd when its runs have ended at the latest, by this clock.
	answeredAt time.Time
	leaseEnd   time.Time
	// confirmedAt is when this incarnation answered last, zero once a call has failed since; unconfirmed reports whether that is so.
	confirmedAt boottime.Instant
	unconfirmed bool
	// minFence is above the fences of all calls for previous incarnations, fenced reports whether the incarnation has answered under it: it then rejects
	// those calls.
	minFence uint64
	fenced   bool
	// firstFailure is when the first call failed because its connection broke, zero while calls succeed.
	firstFailure time.Time
	// view is the latest view, views the number of views received, completeViews that of the views that listed all ended runs, acknowledgedEnds the
	// sequence up to which the leader has committed ended runs.
	view             host.View
	views            uint64
	completeViews    uint64
	acknowledgedEnds uint64
	unreachable      bool
	// terminated reports whether the worker has another incarnation, idChanged whether that has another id, deregistered whether this one deregistered before
	// its end, endRecorded whether its end is queued for the leader.
	terminated bool
	idChanged  bool
	// runsOnNext are the runs of the next incarnation with the same id, which their starts reached.
	runsOnNext   map[host.Run]bool
	deregistered bool
	endRecorded  bool
	orders       map[host.Run]*order
	// possibleRuns are the runs that this incarnation may have.
	possibleRuns runSet
	// startsInFlight counts the start calls of each run that have no outcome yet; an entry of possibleRuns may expire before its calls end.
	startsInFlight map[host.Run]int
	// unanswered are the starts of runs that got no answer from this incarnation.
	unanswered host.LateCalls[host.Run]
	// refused is the highest refused run of each task; a repeated start of it is refused again.
	refused  map[job.TaskID]int
	profiles map[host.Run]link.Profile
	paces    map[host.Run]int
	// targetPaces are the paces by image, interference the weights reported by the leader, by best-effort and serving image, pacesSetAt when the paces
	// were last chosen.
	targetPaces  map[string]int
	interference map[string]map[string]float64
	pacesSetAt   time.Time
	// violations are the times since which serving tasks have violated their latency targets.
	violations map[host.Run]time.Time
	// trackers follow the headrooms of serving tasks; usedShares is the share of the worker that each best-effort image used last.
	trackers   map[host.Run]*pressure.Tracker
	usedShares map[string]float64
	// loadFrequency is the frequency of load variations as reported by the leader, 0 before its first answer.
	loadFrequency float64
	// backlog is the batch backlog as reported by the leader, from 0 to 1.
	backlog float64
	// loads are those of serving steps as reported by the leader; residuals follow the deviation of single tasks from them.
	loads     map[string]pressure.Load
	residuals map[host.Run]*pressure.Residual
}

// order is a start or stop that is in progress, or whose outcome is unreported.
type order struct {
	start  *link.Start
	text   string
	stop   bool
	cancel context.CancelFunc
	// refused is why the run will never run, final whether that is settled, viewsAtRefusal the number of complete views received by then.
	refused        host.Refusal
	final          bool
	viewsAtRefusal uint64
}

// newWorkerState returns the state of an incarnation from its first report. A previous process of the agent may have renewed its lease just before.
func newWorkerState(report host.Report, now time.Time) *workerState {
	return &workerState{
		id: report.Incarnation, report: report, clock: report.Clock, clockReadAt: now, answeredAt: now, leaseEnd: now.Add(runLease),
		orders: make(map[host.Run]*order), possibleRuns: make(runSet), startsInFlight: make(map[host.Run]int), unanswered: make(host.LateCalls[host.Run]), refused: make(map[job.TaskID]int),
		profiles: make(map[host.Run]link.Profile), paces: make(map[host.Run]int),
		violations: make(map[host.Run]time.Time), trackers: make(map[host.Run]*pressure.Tracker),
		residuals: make(map[host.Run]*pressure.Residual),
	}
}

// mayReuseID reports whether incarnations of the worker may have the same id: only if it reports its start time.
func (w *workerState) mayReuseID() bool { return w.id.StartMillis() != 0 }

// assumeLease assumes that a call for a previous incarnation, with a deadline on its clock, has just set the lease for as long as the worker grants at most.
func (r *Runner) assumeLease(w *workerState, now time.Time) {
	if w.mayReuseID() {
		w.extendLeaseEnd(now.Add(time.Duration(float64(r.config.MaxRenewal) / host.MinClockRate)))
	}
}

// newWorker returns the state of an incarnation that has not answered yet.
func (r *Runner) newWorker(report host.Report, now time.Time) *workerState {
	w := newWorkerState(report, now)
	r.assumeLease(w, now)
	return w
}

// extendLeaseEnd moves the time by which the runs have ended at the latest.
func (w *workerState) extendLeaseEnd(end time.Time) {
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// updateReport stores a newer report and returns whether it is newer. A draining worker never becomes ready again.
func (w *workerState) updateReport(report host.Report) bool {
	if report.Sequence < w.report.Sequence {
		return false
	}
	report.Draining = report.Draining || w.report.Draining
	w.report = report
	return true
}

// startEnded records that a start call of a run has ended.
func (w *workerState) startEnded(run host.Run) {
	w.startsInFlight[run]--
	if w.startsInFlight[run] <= 0 {
		delete(w.startsInFlight, run)
	}
}

// removeStopped removes the runs whose stop was answered before the latest view was requested. Until then the stop may have been answered by a later
// incarnation while the current one crashed under the run.
func (w *workerState) removeStopped() {
	for run, o := range w.orders {
		if o.final && o.refused == host.RefusedOld && o.coveredBy(w.completeViews) {
			delete(w.possibleRuns, run)
		}
	}
}

// prune removes refused orders whose runs the view lists as ended, and the state of runs that are gone.
func (w *workerState) prune() {
	for _, e := range w.view.Ended {
		if o := w.orders[e.Run]; o != nil && o.final {
			delete(w.orders, e.Run)
		}
	}
	listed := make(map[host.Run]bool, len(w.view.Running))
	for _, running := range w.view.Running {
		listed[running.Run] = true
	}
	for run := range w.profiles {
		if !listed[run] && w.orders[run] == nil && w.possibleRuns[run] == nil {
			delete(w.profiles, run)
			delete(w.violations, run)
			delete(w.trackers, run)
			delete(w.residuals, run)
			delete(w.paces, run)
		}
	}
}

// coveredBy reports whether a complete view was requested after the refusal, so that it listed the end of the run if there was one.
func (o *order) coveredBy(completeViews uint64) bool {
	return completeViews >= o.viewsAtRefusal+viewsAfterEvent
}

// awaitsView reports whether the end of a stop is unreported until the next view; the stopped task runs nowhere until then.
func (w *workerState) awaitsView() bool {
	for _, o := range w.orders {
		if o.stop && o.final && !o.coveredBy(w.completeViews) {
			return true
		}
	}
	return false
}

// lists reports whether the latest view lists a run as running.
func (w *workerState) lists(run host.Run) bool {
	return slices.ContainsFunc(w.view.Running, func(r host.Running) bool { return r.Run == run })
}

// recordNextRuns records the running and ended runs of the next incarnation if calls for this one can reach it.
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

// sharedRuns returns the runs of the incarnation that the next one has as well, sorted by task.
func (w *workerState) sharedRuns() []link.Run {
	var shared []link.Run
	for run := range w.possibleRuns {
		if w.runsOnNext[run] {
			shared = append(shared, wireRun(run))
		}
	}
	slices.SortFunc(shared, func(a, b link.Run) int { return strings.Compare(a.Task, b.Task) })
	return shared
}

// cancelOrders discards all orders; the worker rejects those on their way once it has received a higher fence.
func (w *workerState) cancelOrders() {
	for run, o := range w.orders {
		o.cancel()
		delete(w.orders, run)
	}
}

// addProfiles stores the profiles of runs that the leader reported.
func (w *workerState) addProfiles(profiles []link.Profile) {
	for _, p := range profiles {
		if run, ok := parseRun(p.Run); ok {
			w.profiles[run] = p
		}
	}
}

// refuse marks that the run of an order will never run.
func (o *order) refuse(w *workerState, run host.Run, refusal host.Refusal) {
	w.possibleRuns.removeUnanswered(run)
	w.refused[run.Task] = max(w.refused[run.Task], run.Number)
	o.refused, o.final, o.viewsAtRefusal = refusal, true, w.completeViews
}
