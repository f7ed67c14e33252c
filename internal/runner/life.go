package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// life is what the agent knows of one life of the worker.
type life struct {
	// instance is the name of the life, which does not change.
	instance string
	report   host.Report
	// foreign says that no configuration names the service of the report, as the lead tells.
	foreign bool
	// clock is the worker's clock as of read, a time at which it surely had reached that.
	clock host.Clock
	read  time.Time
	// fenced is the highest epoch that the worker has seen from this agent.
	fenced uint64
	// answered is when the worker answered last, until when its runs may go on at the latest by this clock.
	answered time.Time
	until    time.Time
	// broken is when the calls to the worker began to break off, zero while they do not.
	broken time.Time
	// view is what the worker showed last, views counts what it showed, seen is up to which number the lead has its ends.
	view   host.View
	views  uint64
	seen   uint64
	silent bool
	// gone says that the worker answered for another life, left that it ended by plan, ended that its end was told.
	gone   bool
	left   bool
	ended  bool
	orders map[host.Run]*order
	// begun are the runs that it may have.
	begun begunRuns
	// refused is the highest run of each task that was refused; an order for it that comes again is not carried out.
	refused  map[job.TaskID]int
	profiles map[host.Run]link.Profile
	paces    map[host.Run]int
	// wanted is the pace by image, presses what the lead told of the images that fill, adjusted when the paces were last
	// reckoned.
	wanted   map[string]int
	presses  map[string]map[string]float64
	adjusted time.Time
	// over is since when serving tasks have been over their targets.
	over map[host.Run]time.Time
	// tracks follow the headrooms of serving tasks; used is the share of the worker that each image that fills used last.
	tracks map[host.Run]*pressure.Track
	used   map[string]float64
	// swing is how fast the loads of serving tasks swing, as the lead tells, 0 before that.
	swing float64
	// starved is how starved batch is, as the lead tells, from 0 to 1.
	starved float64
	// loads are those of serving steps, as the lead tells; owns follow by how much single tasks are off them.
	loads map[string]pressure.Load
	owns  map[host.Run]*pressure.Own
}

// order is a start or a stop that is under way, or whose end is still to be told.
type order struct {
	start  *link.Start
	text   string
	stop   bool
	cancel context.CancelFunc
	// refused is why the worker will never run it, with the number of views taken by then.
	refused host.Refusal
	final   bool
	views   uint64
}

// newLife returns a life of which no more is known than its first report.
func newLife(report host.Report, now time.Time) *life {
	return &life{
		instance: report.Instance,
		report:   report, clock: report.Clock, read: now, answered: now,
		orders: make(map[host.Run]*order), begun: make(begunRuns), refused: make(map[job.TaskID]int),
		profiles: make(map[host.Run]link.Profile), paces: make(map[host.Run]int),
		over: make(map[host.Run]time.Time), tracks: make(map[host.Run]*pressure.Track),
		owns: make(map[host.Run]*pressure.Own),
	}
}

// renew takes a newer report of the life and reports whether it did; one that was overtaken is left. Draining is never taken back.
func (l *life) renew(report host.Report) bool {
	if report.Sequence < l.report.Sequence {
		return false
	}
	report.Draining = report.Draining || l.report.Draining
	l.report = report
	return true
}

// prune forgets refused orders of which the view shows how their runs ended, and profiles of runs that are no more.
func (l *life) prune() {
	for _, e := range l.view.Ended {
		if o := l.orders[e.Run]; o != nil && o.final {
			delete(l.orders, e.Run)
		}
	}
	present := make(map[host.Run]bool, len(l.view.Running))
	for _, running := range l.view.Running {
		present[running.Run] = true
	}
	for run := range l.profiles {
		if !present[run] && l.orders[run] == nil {
			delete(l.profiles, run)
			delete(l.over, run)
			delete(l.tracks, run)
			delete(l.owns, run)
			delete(l.paces, run)
		}
	}
}

// drop forgets the orders of an earlier lead; the worker refuses them once it has seen the new epoch.
func (l *life) drop() {
	for run, o := range l.orders {
		o.cancel()
		delete(l.orders, run)
	}
}

// profile keeps what the lead tells of runs.
func (l *life) profile(profiles []link.Profile) {
	for _, p := range profiles {
		if run, ok := parseRun(p.Run); ok {
			l.profiles[run] = p
		}
	}
}

// refuse takes note that the worker will never run what the order starts.
func (o *order) refuse(l *life, run host.Run, why host.Refusal) {
	if why == host.RefusedOld {
		delete(l.begun, run)
	}
	l.begun.drop(run)
	l.refused[run.Task] = max(l.refused[run.Task], run.Number)
	o.refused, o.final, o.views = why, true, l.views
}
