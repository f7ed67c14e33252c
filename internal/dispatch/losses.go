package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// unreachable is an unreachable incarnation of a worker, with the runs that were counted as lost when it became so.
type unreachable struct {
	since time.Time
	runs  []link.Run
}

// countLosses counts the runs of an ended incarnation as lost, by the crash report of its agent or, if there is none, by the
// leader's own observations.
func (t *term) countLosses(a *agent, h *hostState, report *link.Crash) {
	h.ended, h.worker.Schedulable = true, false
	if report == nil && len(h.runs) > 0 && !h.draining {
		t.dispatcher.config.Metrics.Counter("lead.untold_crashes").Inc(1)
		t.logger.Warn("worker incarnation ended without a crash report; vm=%s instance=%s runs=%d",
			h.worker.Host.VM, h.worker.Host.Incarnation, len(h.runs))
		observed := h.observedCrash()
		t.attributeCrash(a, observed.Incarnation(), t.suspectRuns(observed))
	}
	ages, shared := runAges(report), t.simultaneousCrashes(a) >= minSimultaneousLosses
	if report != nil {
		h.markNeverHad(ages)
	}
	t.recordLosses(h, h.sortedRuns(), func(run link.Run) (crash.Loss, bool) {
		if report == nil {
			return h.findRun(run).observedLoss(shared), true
		}
		age, ran := ages[run]
		return crash.ReportedLoss(age, shared), ran
	})
}

// markNeverHad marks the runs that the report of the incarnation's end does not list: none of their starts was carried out.
func (h *hostState) markNeverHad(listed map[link.Run]time.Duration) {
	for id, p := range h.runs {
		_, had := listed[link.NewRun(id, p.number)]
		p.neverHad = !had
	}
}

// observedLoss returns the loss of a run without a crash report, by how long the leader saw it run; the lifetime is unknown
// if another leader started it.
func (p *placedRun) observedLoss(shared bool) crash.Loss {
	if p.startSentAt.IsZero() {
		return crash.UnreportedLoss()
	}
	return crash.ReportedLoss(p.minimumLifetime(), shared)
}

// observedCrash returns a crash report built from the leader's own observations of an ended incarnation.
func (h *hostState) observedCrash() link.Crash {
	id := h.worker.Host.Incarnation
	observed := link.Crash{Instance: id.Worker(), StartMillis: id.StartMillis()}
	for _, task := range h.sortedRuns() {
		if p := h.runs[task]; p.committed {
			observed.Runs = append(observed.Runs, link.CrashedRun{
				Run: link.NewRun(task, p.number), Answered: p.survivedStart, AgeMillis: p.minimumLifetime().Milliseconds(),
			})
		}
	}
	return observed
}

// markUnreachable ends the runs of an incarnation whose agent lease has expired, except unsettled ones, and counts them as lost, whether its worker
// crashed or not, except those that a report of its end has shown it never had.
func (t *term) markUnreachable(h *hostState, unsettled func(job.TaskID, *placedRun) bool, reason string) {
	released := t.releasedRuns(h, unsettled, reason)
	if len(released) == 0 && len(h.runs) > 0 {
		return
	}
	runs := t.recordLosses(h, released, func(run link.Run) (crash.Loss, bool) { return crash.UnreachableLoss(), !h.findRun(run).neverHad })
	for _, id := range released {
		if p := h.runs[id]; p.committed && p.reportedAt.IsZero() {
			t.recordLateStart(h.worker.Host, link.NewRun(id, p.number))
		}
	}
	if len(runs) > 0 {
		t.unreachable[h.worker.Host] = unreachable{since: time.Now(), runs: slices.Concat(t.unreachable[h.worker.Host].runs, runs)}
	}
	if a := t.agents[h.worker.Host.VM]; a != nil && a.host == h.worker.Host {
		// An order that is not sent yet could still start one of the runs.
		a.pendingOrders = nil
	}
	t.recordLostRuns(h, released, reason)
}

// recordLosses counts some runs of an incarnation as lost and returns those that were counted. It bounds the starts of a
// task whose crashes stay unreported or are never attributed to it. lossOf returns how a run was lost, false if the
// incarnation never had it. Runs of a draining worker and runs that were never ordered do not count.
func (t *term) recordLosses(h *hostState, runs []job.TaskID, lossOf func(link.Run) (crash.Loss, bool)) []link.Run {
	if h.draining {
		return nil
	}
	var counted []link.Run
	for _, id := range runs {
		p, tracked := h.runs[id], t.jobs[id.Job]
		run := link.NewRun(id, p.number)
		loss, ran := lossOf(run)
		if tracked == nil || !p.committed || !ran || !tracked.job.RecordLoss(id, p.number, loss) {
			continue
		}
		counted = append(counted, run)
		t.lossesChanged(tracked, id)
	}
	t.dispatcher.config.Metrics.Counter("lead.lost_runs").Inc(int64(len(counted)))
	return counted
}

// lossesChanged handles a change of the losses of a task, for which its job may be given up.
func (t *term) lossesChanged(tracked *trackedJob, id job.TaskID) {
	losses := tracked.job.CrashHistory(id).Losses()
	t.crashHistoryChanged(tracked, fmt.Sprintf("one of its tasks was lost with its workers too often; task=%s lost=%d crashed=%d alike=%d blind=%d",
		id, losses.Total(), losses.Crashed(), losses.Similar(), losses.UnknownLifetime()))
}

// resolveUnreachable resolves the losses of the unreachable incarnations of a VM's worker once its agent reports again: those
// of the current incarnation were not lost, those of any other were lost by a crash.
func (t *term) resolveUnreachable(current job.Host) {
	for host, incarnation := range t.unreachable {
		if host.VM == current.VM {
			delete(t.unreachable, host)
			t.resolveRuns(incarnation.runs, func(link.Run) bool { return host != current })
		}
	}
}

// resolveReported resolves the losses of an incarnation whose crash is reported, also those that a previous leader counted
// when it became unreachable.
func (t *term) resolveReported(vm string, report link.Crash) {
	host, ages := job.Host{VM: vm, Incarnation: report.Incarnation()}, runAges(&report)
	runs := t.unreachable[host].runs
	delete(t.unreachable, host)
	for _, r := range report.Runs {
		runs = append(runs, r.Run)
	}
	t.resolveRuns(runs, func(run link.Run) bool {
		_, ran := ages[run]
		return ran
	})
}

// resolveRuns records for runs of an unreachable incarnation whether a crash ended them or they were not lost.
func (t *term) resolveRuns(runs []link.Run, crashed func(link.Run) bool) {
	for _, run := range runs {
		tracked := t.jobOf(run)
		if id, _ := run.TaskID(); tracked != nil && tracked.job.ResolveLoss(id, run.Number, crashed(run)) {
			t.lossesChanged(tracked, id)
		}
	}
}

// resolveEnded records that a run was not lost, since its worker reports its end.
func (t *term) resolveEnded(id job.TaskID, run int) {
	if tracked := t.jobs[id.Job]; tracked != nil && tracked.job.ResolveLoss(id, run, false) {
		t.markDirty(tracked)
	}
}

// expireUnreachable removes unreachable incarnations after the retention of ended jobs.
func (t *term) expireUnreachable(now time.Time) {
	for host, incarnation := range t.unreachable {
		if now.Sub(incarnation.since) > endedJobRetention {
			delete(t.unreachable, host)
		}
	}
}

// runAges returns the age of each run in a crash report; nil stands for no report.
func runAges(report *link.Crash) map[link.Run]time.Duration {
	ages := make(map[link.Run]time.Duration)
	if report == nil {
		return ages
	}
	for _, r := range report.Runs {
		ages[r.Run] = time.Duration(r.AgeMillis) * time.Millisecond
	}
	return ages
}
