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

// maxEnded is how many ended incarnations an agent remembers; a report is delayed by seconds at most, an incarnation lasts longer.
const maxEnded = 16

// endedIncarnations are the latest incarnations of the worker that have ended; none of them can return.
type endedIncarnations []incarnation.ID

// has reports whether an incarnation is known to have ended.
func (e endedIncarnations) has(id incarnation.ID) bool { return slices.Contains(e, id) }

// hasWorker reports whether an incarnation with the same worker id is known to have ended.
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

// maxCandidates bounds the candidates to verify: each takes one call, and one left out reports again within about a second.
const maxCandidates = 16

// findCandidate returns the candidate with an incarnation, nil if there is none.
func (r *Runner) findCandidate(id incarnation.ID) *workerState {
	for _, c := range r.candidates {
		if c.id == id {
			return c
		}
	}
	return nil
}

// addCandidate adds an incarnation that reports beside the current one. Its report may have been delayed until after its end, so the worker is
// asked which of the two it is.
func (r *Runner) addCandidate(report host.Report, now time.Time) {
	if c := r.findCandidate(report.Incarnation); c != nil {
		c.updateReport(report)
		return
	}
	if len(r.candidates) == maxCandidates {
		return
	}
	r.logger.Info("report of another incarnation received; instance=%s present=%s", report.Incarnation, r.worker.id)
	r.candidates = append(r.candidates, r.newWorker(report, now))
	r.raiseFence()
	wait.Notify(r.candidateAdded)
}

// verifyCandidates asks the worker which incarnation it is whenever one other than the current one reports.
func (r *Runner) verifyCandidates(ctx context.Context) error {
	for ctx.Err() == nil {
		candidate, renewal := r.nextCandidate()
		if candidate == nil {
			select {
			case <-ctx.Done():
			case <-r.candidateAdded:
			}
			continue
		}
		view, refusal, err := r.config.Worker.Renew(ctx, candidate.id, renewal)
		undecided := err != nil && !fault.Is(err, fault.Stale) || err == nil && refusal != host.Accepted
		if undecided {
			// A refusal does not identify the incarnation: another call may have sent a higher fence meanwhile.
			r.awaitRetry(ctx)
			continue
		}
		r.resolveCandidate(candidate, err == nil && view.Incarnation == candidate.id, renewal.Fence, view)
	}
	return ctx.Err()
}

// nextCandidate returns the next candidate to verify, nil if there is none, and a renewal that extends and acknowledges nothing.
func (r *Runner) nextCandidate() (*workerState, host.Renewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.candidates) == 0 {
		return nil, host.Renewal{}
	}
	return r.candidates[0], host.Renewal{Fence: r.fences.current}
}

// resolveCandidate replaces the current incarnation by a candidate that answered, or discards the candidate. Each is resolved by its own answer,
// so that no number of reports from unknown senders delays the real one.
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
	r.logger.Warn("report of another incarnation ignored; instance=%s present=%s", candidate.id, r.worker.id)
	r.ended.add(candidate.id)
}

// replaceWorker makes an incarnation the current one; no state of the previous one is kept.
func (r *Runner) replaceWorker(next *workerState) {
	now := time.Now()
	r.logger.Info("worker has a new incarnation; instance=%s previous=%s", next.id, r.worker.id)
	r.idReused = r.idReused || next.id.SameWorker(r.worker.id) || r.ended.hasWorker(next.id)
	r.recordEnd(r.worker)
	r.ended.add(r.worker.id)
	r.recordPendingStarts(r.worker, now)
	r.worker.cancelOrders()
	r.raiseFence()
	next.minFence = min(r.fences.highestUsed+1, r.epoch)
	r.worker = next
	for _, run := range r.lateStartRuns(next.id, now) {
		r.logger.Info("stopping a late start sent to a previous incarnation; task=%s run=%d instance=%s", run.Task, run.Number, next.id)
		r.stopRun(next, run)
	}
	wait.Notify(r.heartbeat)
	wait.Notify(r.reportDue)
}

// recordPendingStarts records the starts in flight on an incarnation that has ended as late starts. A start that waits for its next attempt was refused or
// did not arrive, or is recorded already: to count it as late would delay its task by host.MaxCallDelay.
func (r *Runner) recordPendingStarts(w *workerState, now time.Time) {
	for run := range w.startsInFlight {
		r.recordLateStart(w.id, run, now)
	}
}

// terminate marks the current incarnation as ended and its runs as lost. If the worker has restarted under the same id, its lease does not count as
// expired before the next incarnation reports, so that late starts can be stopped there.
func (r *Runner) terminate(w *workerState, sameID bool) {
	if !w.terminated {
		r.logger.Warn("worker incarnation ended; instance=%s same_id=%t", w.id, sameID)
		r.recordEnd(w)
		if sameID {
			r.assumeLease(w, time.Now())
		}
		wait.Notify(r.reportDue)
	}
	w.terminated, w.unreachable, w.idChanged = true, true, w.idChanged || !sameID
}
