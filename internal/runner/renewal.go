package runner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// renewalWait is how long a renewal waits for a run to end; the worker measures over half a second.
	renewalWait = 500 * time.Millisecond
	// runLease is how long the worker's runs may continue after a renewal: longer than an agent takes to restart, shorter than any agent lease.
	runLease = 3500 * time.Millisecond
	// unreachableAfter is how long a worker may leave calls unanswered before it is reported as unreachable.
	unreachableAfter = 1500 * time.Millisecond
	// fenceTimeout bounds the renewal that sends a new fence; the next renewal sends it too.
	fenceTimeout = 300 * time.Millisecond
	// renewalRetryDelay is the time between two renewals if the previous one failed or returned ended runs that are not acknowledged yet.
	renewalRetryDelay = 100 * time.Millisecond
)

// renewLoop renews the lease of the worker's runs and stores the views that the worker returns.
func (r *Runner) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		id, renewal, ok := r.nextRenewal()
		if !ok {
			r.contactWorker(ctx)
			r.await(ctx, r.heartbeat, r.retryDelay())
			continue
		}
		sentAt := time.Now()
		hasEnds, err := r.renewOnce(ctx, id, renewal)
		switch {
		case err != nil:
			r.recordFailedRenewal(id, sentAt, err)
			if fault.Is(err, fault.Stale) {
				r.contactWorker(ctx)
			}
			r.awaitRetry(ctx)
		case hasEnds:
			r.await(ctx, r.endsAcknowledged, renewalRetryDelay)
		}
	}
	return ctx.Err()
}

// renewOnce renews the lease once and reports whether the worker has ended runs to acknowledge.
func (r *Runner) renewOnce(ctx context.Context, id incarnation.ID, renewal host.Renewal) (bool, error) {
	view, refusal, err := r.config.Worker.Renew(ctx, id, renewal)
	switch {
	case err != nil:
		return false, err
	case refusal == host.RefusedFence:
		r.adoptEpochAsFence(renewal.Fence)
		return false, fault.New(fault.Conflict, "the worker has received a higher fence than %d", renewal.Fence)
	case refusal != host.Accepted:
		return false, fault.New(fault.Conflict, "the worker refused the renewal: %s", refusal)
	case view.Incarnation != id:
		r.recordNextRuns(id, view)
		return false, errSameID
	}
	return r.recordRenewal(ctx, id, renewal, view), nil
}

// errSameID reports that a later incarnation answered under the id of the one that was called.
var errSameID = fault.New(fault.Stale, "another incarnation answers under the same id")

// recordNextRuns records the runs of the next incarnation with the id of the current one.
func (r *Runner) recordNextRuns(id incarnation.ID, view host.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.worker; w != nil && w.id == id {
		w.recordNextRuns(view)
	}
}

// sendFence sends the fence of a new leader while another renewal still waits for a run to end: until the worker has received it, the leader cannot
// rely on the worker's reports.
func (r *Runner) sendFence(ctx context.Context) {
	id, renewal, ok := r.nextRenewal()
	if !ok || renewal.Wait > 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	if _, err := r.renewOnce(bounded, id, renewal); err != nil {
		r.logger.Debug("renewal with the new fence failed: %v", err)
	}
}

// await waits for a signal, up to a timeout.
func (r *Runner) await(ctx context.Context, c chan struct{}, timeout time.Duration) {
	select {
	case <-ctx.Done():
	case <-c:
	case <-time.After(timeout):
	}
}

// nextRenewal returns the next renewal to send, false before the worker's first report.
func (r *Runner) nextRenewal() (incarnation.ID, host.Renewal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	if w == nil {
		return incarnation.ID{}, host.Renewal{}, false
	}
	r.stopExpiredRuns(w)
	renewal := host.Renewal{Fence: r.fences.current, Acknowledged: r.acknowledged(w), Wait: renewalWait}
	confirmed := r.justConfirmed(w)
	if confirmed {
		renewal.Until = r.runDeadline(w)
	}
	if renewal.Acknowledged > 0 || renewal.Until > 0 {
		r.fences.use()
	}
	if w.highestFence < r.fences.current || w.awaitsView() || !confirmed && !w.unreachable {
		renewal.Wait = 0
	}
	return w.id, renewal, true
}

// minRestartTime is the time within which a worker that has just answered cannot have crashed and restarted.
const minRestartTime = 300 * time.Millisecond

// justConfirmed reports whether the incarnation has answered so recently that a call sent now reaches no later one. Sequences and clocks restart with
// each incarnation, so only such a call may acknowledge ended runs or set the lease.
func (r *Runner) justConfirmed(w *workerState) bool { return r.confirmedWithin(w, minRestartTime) }

// acknowledged returns up to which sequence the next renewal acknowledges ended runs, 0 for none. It covers only runs that the worker listed.
func (r *Runner) acknowledged(w *workerState) uint64 {
	if !r.justConfirmed(w) {
		return 0
	}
	listed := slices.ContainsFunc(w.view.Ended, func(e host.EndedRun) bool { return e.Sequence <= w.acknowledgedEnds })
	if !listed {
		return 0
	}
	return w.acknowledgedEnds
}

// stopAfterExpiry is how long after the agent lease expires the worker's runs are stopped: the worker ends them before by its own clock, unless that
// was suspended.
const stopAfterExpiry = 200 * time.Millisecond

// stopExpiredRuns stops the runs still listed after the agent lease has expired: a worker that was suspended with its VM would continue them for up
// to runLease after it resumes, beside the runs that the leader has placed elsewhere.
func (r *Runner) stopExpiredRuns(w *workerState) {
	if r.agentLeaseEnd.IsZero() || w.unreachable || r.config.Uptime.Now().Sub(r.agentLeaseEnd) < stopAfterExpiry {
		return
	}
	for _, running := range w.view.Running {
		if w.orders[running.Run] == nil {
			r.logger.Warn("stopping a run after the agent lease expired; task=%s run=%d", running.Run.Task, running.Run.Number)
			r.stopRun(w, running.Run)
		}
	}
}

// runDeadline returns the time on the worker's clock until which its runs may continue, and stores it on this clock as leaseEnd. A worker that does not answer
// gets no extension, so that its lease expires.
func (r *Runner) runDeadline(w *workerState) host.Clock {
	if w.unreachable {
		return 0
	}
	remaining := min(runLease, r.agentLeaseEnd.Sub(r.config.Uptime.Now()))
	if remaining <= 0 {
		return 0
	}
	end := time.Now().Add(remaining)
	w.extendLeaseEnd(end)
	// The worker's clock shows at least this at end, even at its slowest rate, so its runs have ended by then. The steady clock measures the time since
	// the reading without suspensions, in which the worker's clock may have stopped as well.
	return w.clock + host.Clock(host.MinClockRate*float64(end.Sub(w.clockReadAt)))
}

// maxDisconnectDelay is the longest time in which a renewal fails if its connection breaks; one to a worker that does not answer fails later.
const maxDisconnectDelay = renewalWait + 100*time.Millisecond

// recordFailedRenewal records a renewal that failed. A broken connection gives the time of a crash to the millisecond, while the last view is up to
// half a second old.
func (r *Runner) recordFailedRenewal(id incarnation.ID, sentAt time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	if w == nil || w.id != id {
		return
	}
	w.confirmedAt, w.unconfirmed = 0, true
	// A worker that refuses a call is running; its next view identifies the incarnation.
	if !fault.Is(err, fault.Conflict) {
		r.raiseFence()
	}
	if now := time.Now(); w.firstFailure.IsZero() && now.Sub(sentAt) < maxDisconnectDelay {
		w.firstFailure = now
	}
	if fault.Is(err, fault.Stale) {
		r.terminate(w, errors.Is(err, errSameID))
		return
	}
	if !w.unreachable && time.Since(w.answeredAt) > unreachableAfter {
		w.unreachable = true
		r.logger.Warn("worker does not answer; instance=%s reason=%v", id, err)
		wait.Notify(r.reportDue)
	}
}

// recordRenewal stores the view that a renewal returned and reports whether the worker has ended runs to acknowledge.
func (r *Runner) recordRenewal(ctx context.Context, id incarnation.ID, renewal host.Renewal, view host.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	if w == nil || w.id != id || !r.recordAnswer(w, renewal, view) {
		return false
	}
	if !view.MoreEnds {
		w.completeViews++
	}
	w.possibleRuns.applyView(view, w.clockReadAt)
	r.applyView(ctx, w)
	return len(view.Ended) > 0
}

// recordAnswer records that the present incarnation answered a renewal, and reports whether the answer is newer than the latest one.
func (r *Runner) recordAnswer(w *workerState, renewal host.Renewal, view host.View) bool {
	if w.views > 0 && view.Clock < w.clock {
		// A newer answer arrived first.
		r.logOutdated("answer", w.id, time.Duration(view.Clock).Milliseconds(), time.Duration(w.clock).Milliseconds())
		return false
	}
	r.checkAcknowledgement(w.id, renewal.Acknowledged, view)
	now := time.Now()
	if w.terminated {
		// The agent dropped its orders meanwhile; the leader sends them again.
		w.cancelOrders()
	}
	if w.unreachable {
		r.logger.Info("worker answers again; instance=%s", w.id)
	}
	w.clock, w.clockReadAt, w.answeredAt, w.unreachable = view.Clock, now, now, false
	w.confirmedAt, w.unconfirmed = r.config.Uptime.Now(), false
	w.firstFailure, w.terminated, w.idChanged = time.Time{}, false, false
	w.highestFence = max(w.highestFence, renewal.Fence)
	if !w.fenced && renewal.Fence >= w.minFence && r.fences.covers(renewal.Fence, r.epoch) {
		w.fenced = true
		r.assumeLease(w, now)
	}
	r.fences.recordAnswer(renewal.Fence)
	w.view = view
	w.views++
	return true
}

// applyView brings the state of the runs up to date with the latest view.
func (r *Runner) applyView(ctx context.Context, w *workerState) {
	w.removeStopped()
	w.prune()
	r.adjustPaces(ctx, w)
	wait.Notify(r.reportDue)
}
