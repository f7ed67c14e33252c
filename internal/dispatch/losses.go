package dispatch

import (
	"fmt"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// unreachable is an incarnation of a worker that is unreachable, with the runs for which that was counted as a loss.
type unreachable struct {
	since time.Time
	runs  []link.Run
}

// countLosses counts the runs of an incarnation that has ended as lost, by what its agent reports or, with no crash reported, by what the leader
// has seen itself.
func (t *term) countLosses(a *agent, h *hostState, told *link.Crash) {
	h.ended, h.worker.Schedulable = true, false
	if told == nil && len(h.runs) > 0 && !h.draining {
		t.dispatcher.config.Metrics.Counter("lead.untold_crashes").Inc(1)
		t.logger.Warn("worker incarnation ended without a crash report; vm=%s instance=%s runs=%d",
			h.worker.Host.VM, h.worker.Host.Incarnation, len(h.runs))
		seen := h.observedCrash()
		t.attributeCrash(a, seen.Incarnation(), t.suspectRuns(seen))
	}
	ages, shared := runAges(told), t.simultaneousCrashes(a) >= minSimultaneousLosses
	t.recordLosses(h, func(run link.Run) (crash.Loss, bool) {
		if told == nil {
			return h.findRun(run).observedLoss(shared), true
		}
		age, had := ages[run]
		return crash.ReportedLoss(age, shared), had
	})
}

// observedLoss returns the loss of a run of which no agent tells: the lead that ordered it has seen for how long it lived.
func (p *placedRun) observedLoss(shared bool) crash.Loss {
	if p.startSentAt.IsZero() {
		return crash.UnreportedLoss()
	}
	return crash.ReportedLoss(p.minimumLifetime(), shared)
}

// observedCrash returns what the leader itself saw of the runs of an incarnation that has ended.
func (h *hostState) observedCrash() link.Crash {
	id := h.worker.Host.Incarnation
	seen := link.Crash{Instance: id.Worker(), StartMillis: id.StartMillis()}
	for _, task := range h.sortedRuns() {
		if p := h.runs[task]; p.committed {
			seen.Runs = append(seen.Runs, link.CrashedRun{
				Run: link.NewRun(task, p.number), Answered: p.survivedStart, AgeMillis: p.minimumLifetime().Milliseconds(),
			})
		}
	}
	return seen
}

// markUnreachable takes back the runs of an incarnation whose lease has lapsed, whether its worker crashed or not.
func (t *term) markUnreachable(h *hostState, reason string) {
	runs := t.recordLosses(h, func(link.Run) (crash.Loss, bool) { return crash.UnreachableLoss(), true })
	for _, id := range h.runsWhere(func(p *placedRun) bool { return p.committed && p.reportedAt.IsZero() }) {
		t.recordLateStart(h.worker.Host, link.NewRun(id, h.runs[id].number))
	}
	if len(runs) > 0 {
		t.unreachable[h.worker.Host] = unreachable{since: time.Now(), runs: runs}
	}
	t.recordLostRuns(h, h.sortedRuns(), reason)
}

// recordLosses counts the runs of a life as lost, so that a task is not started for ever of whose crashes nobody tells, or which is cleared of
// each. It returns those that were counted; lost tells how a run was, if the life had it. What leaves by plan and what was never
// ordered is not lost so.
func (t *term) recordLosses(h *hostState, lost func(link.Run) (crash.Loss, bool)) []link.Run {
	if h.draining {
		return nil
	}
	var counted []link.Run
	for _, id := range h.sortedRuns() {
		p, known := h.runs[id], t.jobs[id.Job]
		run := link.NewRun(id, p.number)
		loss, had := lost(run)
		if known == nil || !p.committed || !had || !known.job.RecordLoss(id, p.number, loss) {
			continue
		}
		counted = append(counted, run)
		t.lossesChanged(known, id)
	}
	t.dispatcher.config.Metrics.Counter("lead.lost_runs").Inc(int64(len(counted)))
	return counted
}

// lossesChanged takes note that the losses of a task have changed, which may be spent.
func (t *term) lossesChanged(known *trackedJob, id job.TaskID) {
	losses := known.job.Suspicion(id).Losses()
	t.suspicionChanged(known, fmt.Sprintf("the workers of a task of it are lost each time; task=%s lost=%d crashed=%d alike=%d blind=%d",
		id, losses.Total(), losses.Crashed(), losses.Similar(), losses.UnknownLifetime()))
}

// resolveUnreachable records what became of the unreachable incarnations of a VM's worker, now that its agent reports: the present one has not
// crashed, and another one has.
func (t *term) resolveUnreachable(current job.Host) {
	for host, life := range t.unreachable {
		if host.VM == current.VM {
			delete(t.unreachable, host)
			t.resolveRuns(life.runs, func(link.Run) bool { return host != current })
		}
	}
}

// resolveReported takes note that a worker has crashed of which an agent tells, also where an earlier lead lost sight of it.
func (t *term) resolveReported(vm string, told link.Crash) {
	host, ages := job.Host{VM: vm, Incarnation: told.Incarnation()}, runAges(&told)
	runs := t.unreachable[host].runs
	delete(t.unreachable, host)
	for _, r := range told.Runs {
		runs = append(runs, r.Run)
	}
	t.resolveRuns(runs, func(run link.Run) bool {
		_, had := ages[run]
		return had
	})
}

// resolveRuns takes note of which runs that were lost sight of were lost by a crash, and which were not lost.
func (t *term) resolveRuns(runs []link.Run, crashed func(link.Run) bool) {
	for _, run := range runs {
		known := t.jobOf(run)
		if id, _ := run.TaskID(); known != nil && known.job.ResolveLoss(id, run.Number, crashed(run)) {
			t.lossesChanged(known, id)
		}
	}
}

// resolveEnded takes note that a worker lists the end of a run, so that it has not crashed under it.
func (t *term) resolveEnded(id job.TaskID, run int) {
	if known := t.jobs[id.Job]; known != nil && known.job.ResolveLoss(id, run, false) {
		t.markDirty(known)
	}
}

// expireUnreachable forgets the lives of VMs that never came back.
func (t *term) expireUnreachable(now time.Time) {
	for host, life := range t.unreachable {
		if now.Sub(life.since) > endedJobRetention {
			delete(t.unreachable, host)
		}
	}
}

// runAges returns the runs that a life had by what its agent tells, with for how long.
func runAges(told *link.Crash) map[link.Run]time.Duration {
	ages := make(map[link.Run]time.Duration)
	if told == nil {
		return ages
	}
	for _, r := range told.Runs {
		ages[r.Run] = time.Duration(r.AgeMillis) * time.Millisecond
	}
	return ages
}
