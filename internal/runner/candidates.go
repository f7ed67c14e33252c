package runner

import (
	"context"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// maxEnded is how many ended incarnations an agent remembers; a report is held up for seconds, an incarnation lasts longer.
const maxEnded = 16

// endedIncarnations are the latest incarnations of the worker that have ended; none of them returns.
type endedIncarnations []incarnation.ID

// has reports whether an incarnation is known to have ended.
func (e endedIncarnations) has(id incarnation.ID) bool { return slices.Contains(e, id) }

// hasWorker reports whether an incarnation under the same id is known to have ended.
func (e endedIncarnations) hasWorker(id incarnation.ID) bool {
	return slices.ContainsFunc(e, func(ended incarnation.ID) bool { return ended.SameWorker(id) })
}

// add marks an incarnation as ended.
func (e *endedIncarnations) add(id incarnation.ID) {
	*e = append(*e, id)
	if extra := len(*e) - maxEnded; extra > 0 {
		*e = slices.Delete(*e, 0, extra)
	}
}

// maxCandidates bounds the candidates that wait: each takes one call, and one that is left out reports again within about a second.
const maxCandidates = 16

// findCandidate returns the findCandidate of an incarnation, nil where there is none.
func (r *Runner) findCandidate(id incarnation.ID) *workerState {
	for _, c := range r.candidates {
		if c.id == id {
			return c
		}
	}
	return nil
}

// addCandidate adds an incarnation that reports itself beside the present one. Reports may have been held up until their sender was gone, so the
// worker is asked which of the two it is.
func (r *Runner) addCandidate(report host.Report, now time.Time) {
	if c := r.findCandidate(report.Incarnation); c != nil {
		c.updateReport(report)
		return
	}
	if len(r.candidates) == maxCandidates {
		return
	}
	r.logger.Info("another incarnation of the worker reports; instance=%s present=%s", report.Incarnation, r.worker.id)
	r.candidates = append(r.candidates, newWorkerState(report, now))
	r.raiseFence()
	wait.Notify(r.candidateAdded)
}

// verifyCandidates asks the worker which incarnation it is whenever another than the present one reports.
func (r *Runner) verifyCandidates(ctx context.Context) error {
	for ctx.Err() == nil {
		candidate, hold := r.nextCandidate()
		if candidate == nil {
			select {
			case <-ctx.Done():
			case <-r.candidateAdded:
			}
			continue
		}
		view, refusal, err := r.config.Worker.Renew(ctx, candidate.id, hold)
		undecided := err != nil && !fault.Is(err, fault.Stale) || err == nil && refusal != host.Accepted
		if undecided {
			// A refusal says nothing of the incarnation: another call may have shown a higher fence meanwhile.
			r.awaitRetry(ctx)
			continue
		}
		r.resolveCandidate(candidate, err == nil && view.Incarnation == candidate.id, hold.Fence, view)
	}
	return ctx.Err()
}

// nextCandidate returns the candidate to ask for, nil where there is none, and a hold that renews and acknowledges nothing.
func (r *Runner) nextCandidate() (*workerState, host.Renewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.candidates) == 0 {
		return nil, host.Renewal{}
	}
	return r.candidates[0], host.Renewal{Fence: r.fences.current}
}

// resolveCandidate replaces the present incarnation by a candidate that answered, or drops the candidate. Each is decided by its own answer, so that
// reports of unknown senders, however many, do not hold the true one up.
func (r *Runner) resolveCandidate(candidate *workerState, answered bool, fence uint64, view host.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidates = slices.DeleteFunc(r.candidates, func(c *workerState) bool { return c == candidate })
	if answered {
		r.fences.recordAnswer(fence)
		r.logFirstAnswer(candidate.id)
		r.logUnexpectedRuns(view)
		r.worker.recordNextRuns(view)
		r.replaceWorker(candidate)
		return
	}
	r.logger.Warn("report of another incarnation is ignored; instance=%s present=%s", candidate.id, r.worker.id)
	r.ended.add(candidate.id)
}

// replaceWorker makes an incarnation the present one. Nothing that is known of the one before holds for it.
func (r *Runner) replaceWorker(next *workerState) {
	now := time.Now()
	r.logger.Info("worker has a new incarnation; instance=%s previous=%s", next.id, r.worker.id)
	r.idReused = r.idReused || next.id.SameWorker(r.worker.id) || r.ended.hasWorker(next.id)
	r.recordEnd(r.worker)
	r.ended.add(r.worker.id)
	r.recordPendingStarts(r.worker, now)
	r.worker.cancelOrders()
	if next.id.SameWorker(r.worker.id) {
		// A call meant for the one before may have set its lease, by a time of another clock.
		next.leaseEnd = now.Add(r.config.LongestHold)
	}
	r.worker = next
	for _, run := range r.lateStartRuns(next.id, now) {
		r.logger.Info("late start of an earlier incarnation is stopped; task=%s run=%d instance=%s", run.Task, run.Number, next.id)
		r.stopRun(next, run)
	}
	wait.Notify(r.heartbeat)
	wait.Notify(r.reportDue)
}

// recordPendingStarts records the starts that are under way on an incarnation that has ended.
func (r *Runner) recordPendingStarts(w *workerState, now time.Time) {
	for run, o := range w.orders {
		if o.start != nil && !o.final {
			r.recordLateStart(w.id, run, now)
		}
	}
}

// terminate marks the present incarnation as ended; its runs are lost. Where the worker has started again under the same id, its lease is not
// taken as lapsed before the next incarnation reports, so that starts on their way can be stopped there.
func (r *Runner) terminate(w *workerState, sameID bool) {
	if !w.terminated {
		r.logger.Warn("worker incarnation ended; instance=%s same_id=%t", w.id, sameID)
		r.recordEnd(w)
		wait.Notify(r.reportDue)
	}
	w.terminated, w.silent, w.idChanged = true, true, w.idChanged || !sameID
}
