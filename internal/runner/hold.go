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
	// renewalWait is how long a hold waits for an end; the worker's figures are over half a second.
	renewalWait = 500 * time.Millisecond
	// runLease is how long the worker's runs go on after a hold: longer than the agent takes to start again, shorter than
	// any permission.
	runLease = 3500 * time.Millisecond
	// minClockRate is how fast the worker's clock runs at the least beside this one, by the platform's page.
	minClockRate = 0.98
	// silentAfter is how long a worker may not answer before it is reported as silent.
	silentAfter = 1500 * time.Millisecond
	// fenceTimeout bounds the hold that shows the worker a new fence; the next one does so as well.
	fenceTimeout = 300 * time.Millisecond
	// renewalRetryDelay lies between two holds that found nothing new, or failed.
	renewalRetryDelay = 100 * time.Millisecond
)

// renewLoop renews the lease of the worker's runs and looks at them, over and over.
func (r *Runner) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		id, hold, ok := r.nextRenewal()
		if !ok {
			r.contactWorker(ctx)
			r.await(ctx, r.heartbeat, r.retryDelay())
			continue
		}
		asked := time.Now()
		settles, err := r.renewOnce(ctx, id, hold)
		switch {
		case err != nil:
			r.recordFailedRenewal(id, asked, err)
			if fault.Is(err, fault.Stale) {
				r.contactWorker(ctx)
			}
			r.awaitRetry(ctx)
		case settles:
			r.await(ctx, r.endsAcknowledged, renewalRetryDelay)
		}
	}
	return ctx.Err()
}

// renewOnce renews the lease once, and reports whether ends wait to be committed.
func (r *Runner) renewOnce(ctx context.Context, id incarnation.ID, hold host.Renewal) (bool, error) {
	view, refusal, err := r.config.Worker.Renew(ctx, id, hold)
	switch {
	case err != nil:
		return false, err
	case refusal == host.RefusedFence:
		r.adoptEpochAsFence(hold.Fence)
		return false, fault.New(fault.Conflict, "the worker has seen a higher fence than %d", hold.Fence)
	case refusal != host.Accepted:
		return false, fault.New(fault.Conflict, "the worker refuses the hold: %s", refusal)
	case view.Incarnation != id:
		r.recordNextRuns(id, view)
		return false, errSameID
	}
	return r.recordRenewal(ctx, id, hold, view), nil
}

// errSameID says that a later incarnation answers under the id of the one that was called.
var errSameID = fault.New(fault.Stale, "another incarnation answers under the same id")

// recordNextRuns records what the next incarnation under the id of the present one has.
func (r *Runner) recordNextRuns(id incarnation.ID, view host.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.worker; w != nil && w.id == id {
		w.recordNextRuns(view)
	}
}

// sendFence shows the worker the sendFence of a leader that was just found, beside the hold that waits for an end: before that the leader
// cannot rely on what it receives of the worker.
func (r *Runner) sendFence(ctx context.Context) {
	id, hold, ok := r.nextRenewal()
	if !ok || hold.Wait > 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	if _, err := r.renewOnce(bounded, id, hold); err != nil {
		r.logger.Debug("the worker has not seen the fence yet: %v", err)
	}
}

// await waits for a signal, or a while.
func (r *Runner) await(ctx context.Context, c chan struct{}, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-c:
	case <-time.After(most):
	}
}

// nextRenewal returns the hold to send, false while the worker is not known.
func (r *Runner) nextRenewal() (incarnation.ID, host.Renewal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	if w == nil {
		return incarnation.ID{}, host.Renewal{}, false
	}
	r.stopExpiredRuns(w)
	hold := host.Renewal{Fence: r.fences.current, Acknowledged: r.acknowledged(w), Until: r.runDeadline(w), Wait: renewalWait}
	if hold.Acknowledged > 0 {
		r.fences.use()
	}
	if w.highestFence < r.fences.current || w.awaitsView() {
		hold.Wait = 0
	}
	return w.id, hold, true
}

// minRestartTime is how long after an answer the worker cannot have crashed and started again.
const minRestartTime = 300 * time.Millisecond

// acknowledged returns up to which number the next hold lets ends go, 0 for none. Numbers start anew with each incarnation, and a call meant for
// this one may reach the next: it acknowledges only what was listed, and only right after an answer.
func (r *Runner) acknowledged(w *workerState) uint64 {
	if w.confirmedAt.IsZero() || r.config.Uptime.Now().Sub(w.confirmedAt) > minRestartTime {
		return 0
	}
	listed := slices.ContainsFunc(w.view.Ended, func(e host.EndedRun) bool { return e.Sequence <= w.acknowledgedEnds })
	if !listed {
		return 0
	}
	return w.acknowledgedEnds
}

// stopAfterExpiry is how long after the end of the permission the worker's runs are stopped: its own reckoning ends them before, unless
// its clock stood still.
const stopAfterExpiry = 200 * time.Millisecond

// stopExpiredRuns stops what the worker still shows some time after the permission is over: a worker that was suspended with its VM would run it
// on for up to holdTime after waking, beside the run that the lead has placed elsewhere.
func (r *Runner) stopExpiredRuns(w *workerState) {
	if r.agentLeaseEnd.IsZero() || w.silent || r.config.Uptime.Now().Sub(r.agentLeaseEnd) < stopAfterExpiry {
		return
	}
	for _, running := range w.view.Running {
		if w.orders[running.Run] == nil {
			r.logger.Warn("run is stopped after the permission was over; task=%s run=%d", running.Run.Task, running.Run.Number)
			r.stopRun(w, running.Run)
		}
	}
}

// runDeadline returns up to when the worker's runs may go on, on its clock, and notes the same on this one. A worker that does
// not answer is not renewed, so that the end of its runs comes into sight.
func (r *Runner) runDeadline(w *workerState) host.Clock {
	if w.silent {
		return 0
	}
	left := min(runLease, r.agentLeaseEnd.Sub(r.config.Uptime.Now()))
	if left <= 0 {
		return 0
	}
	end := time.Now().Add(left)
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
	// The worker's clock shows at least this at end, however slowly it runs, so that its runs are over by then. Since it was
	// read the steady clock went on; a suspension is left out, in which the worker's may have stood still as well.
	return w.clock + host.Clock(minClockRate*float64(end.Sub(w.clockReadAt)))
}

// maxDisconnectDelay is how soon a hold fails that was broken off: one whose worker is silent fails later.
const maxDisconnectDelay = renewalWait + 100*time.Millisecond

// recordFailedRenewal records a hold that was asked for at a time and failed. One that was broken off tells when the worker crashed, if it did: to the
// millisecond, where what the worker showed last is up to half a second old.
func (r *Runner) recordFailedRenewal(id incarnation.ID, asked time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	if w == nil || w.id != id {
		return
	}
	w.confirmedAt = 0
	// A worker that refuses a call lives on; its next list says whether as another incarnation.
	if !fault.Is(err, fault.Conflict) {
		r.raiseFence()
	}
	if now := time.Now(); w.firstFailure.IsZero() && now.Sub(asked) < maxDisconnectDelay {
		w.firstFailure = now
	}
	if fault.Is(err, fault.Stale) {
		r.terminate(w, errors.Is(err, errSameID))
		return
	}
	if !w.silent && time.Since(w.answeredAt) > silentAfter {
		w.silent = true
		r.logger.Warn("worker does not answer; instance=%s reason=%v", id, err)
		wait.Notify(r.reportDue)
	}
}

// recordRenewal stores a view and reports whether ends wait to be committed.
func (r *Runner) recordRenewal(ctx context.Context, id incarnation.ID, hold host.Renewal, view host.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	if w == nil || w.id != id {
		return false
	}
	if w.views > 0 && view.Clock < w.clock {
		// A newer answer has overtaken this one.
		r.logOutdated("answer", id, time.Duration(view.Clock).Milliseconds(), time.Duration(w.clock).Milliseconds())
		return false
	}
	r.checkAcknowledgement(id, hold.Acknowledged, view)
	now := time.Now()
	if w.terminated {
		// Orders were no longer carried out; the leader gives them again.
		w.cancelOrders()
	}
	if w.silent {
		r.logger.Info("worker answers again; instance=%s", id)
	}
	w.clock, w.clockReadAt, w.answeredAt, w.silent = view.Clock, now, now, false
	w.confirmedAt = r.config.Uptime.Now()
	w.firstFailure, w.terminated, w.idChanged = time.Time{}, false, false
	w.highestFence = max(w.highestFence, hold.Fence)
	r.fences.recordAnswer(hold.Fence)
	w.view = view
	w.views++
	w.possibleRuns.applyView(view, now)
	w.removeStopped()
	w.prune()
	r.adjustPaces(ctx, w)
	wait.Notify(r.reportDue)
	return len(view.Ended) > 0
}
