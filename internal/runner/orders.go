package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/pacing"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// orderRetryDelay is the time between two attempts at an order that got no answer.
	orderRetryDelay = 80 * time.Millisecond
	// maxStartAttempts is how often a start is sent before it is withdrawn by a stop.
	maxStartAttempts = 4
	// maxPatientAttempts applies once a start got no answer from a worker that may reuse its id: until a withdrawn start can no longer be carried out by a
	// later incarnation, its task waits, so that another attempt is worth more.
	maxPatientAttempts = 10
	// minStartTimeout and host.MaxStartTimeout bound the timeout of a start: eight times the usual response time, which is some milliseconds on one VM, and
	// longer with each attempt. A repeated start gets the same answer as the first.
	minStartTimeout = 100 * time.Millisecond
)

// handleOrders accepts the leader's orders and carries them out asynchronously; orders from an earlier leader or connection are refused.
func (r *Runner) handleOrders(_ context.Context, p *rpc.Peer, orders link.Orders) (link.Empty, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if orders.Epoch != r.epoch || p != r.session {
		return link.Empty{}, fault.New(fault.Stale, "the agent follows epoch %d", r.epoch)
	}
	w := r.worker
	if target := orders.Incarnation(); w == nil || !w.id.MayEqual(target) {
		return link.Empty{}, fault.New(fault.Stale, "incarnation %s of the worker has ended", target)
	}
	if w.terminated {
		// The next report says that the incarnation has ended; until then orders would reach the next one under the same id.
		r.logger.Info("orders for an ended incarnation dropped; instance=%s starts=%d stops=%d", w.id, len(orders.Starts), len(orders.Stops))
		return link.Empty{}, nil
	}
	r.hall.update(orders.Hall, r.hall.connectedAt)
	for i := range orders.Starts {
		start := orders.Starts[i]
		run, ok := parseRun(start.Run)
		if !ok {
			return link.Empty{}, fault.New(fault.BadInput, "%q names no task", start.Task)
		}
		r.startRun(w, run, &start, orders.Texts[string(run.Task.Job)])
	}
	for _, stop := range orders.Stops {
		run, ok := parseRun(stop)
		if !ok {
			return link.Empty{}, fault.New(fault.BadInput, "%q names no task", stop.Task)
		}
		r.stopRun(w, run)
	}
	return link.Empty{}, nil
}

// startRun carries out a start unless the run was already ordered. A start of a refused run is refused again: the leader that received the refusal
// may have been replaced before it committed that, or the agent has discarded the refusal with the orders of that leader.
func (r *Runner) startRun(w *workerState, run host.Run, start *link.Start, text string) {
	if w.orders[run] != nil {
		return
	}
	w.profiles[run] = start.Profile
	if w.lists(run) {
		// A second start could reach the next incarnation under the same id.
		return
	}
	ctx, cancel := context.WithCancel(r.runContext)
	o := &order{start: start, text: text, cancel: cancel}
	refusal := r.checkStart(w, run, start)
	w.orders[run] = o
	if refusal != host.Accepted && run.Number > w.refused[run.Task] && r.startOutstanding(w, run) {
		r.logger.Warn("withdrawing a start that the agent refuses while an earlier call for the run is outstanding; task=%s run=%d refusal=%s",
			run.Task, run.Number, refusal)
		r.stopRun(w, run)
		return
	}
	if refusal != host.Accepted {
		o.refuse(w, run, refusal)
		wait.Notify(r.reportDue)
		return
	}
	outstanding := r.startOutstanding(w, run)
	r.orderTasks.Go(func() { r.sendStart(ctx, w, run, o, outstanding) })
}

// checkStart returns why the agent itself refuses a start, Accepted if it does not.
func (r *Runner) checkStart(w *workerState, run host.Run, start *link.Start) host.Refusal {
	switch {
	case run.Number <= w.refused[run.Task]:
		r.logger.Info("start of a refused run is refused again; task=%s run=%d refused_run=%d", run.Task, run.Number, w.refused[run.Task])
		return host.RefusedLate
	case w.report.Draining:
		return host.RefusedBusy
	case start.BestEffort && w.violatesTargetFor(pacing.ViolationGrace):
		r.logger.Info("start refused because a serving task exceeds its latency target; task=%s run=%d", run.Task, run.Number)
		return host.RefusedBusy
	case !w.fits(run, start):
		r.logger.Info("start refused for lack of capacity; task=%s run=%d taken=%v capacity=%v",
			run.Task, run.Number, w.reserved(), w.report.Capacity)
		return host.RefusedCapacity
	}
	return host.Accepted
}

// stopRun carries out a stop and cancels a start of the run that is in progress.
func (r *Runner) stopRun(w *workerState, run host.Run) {
	if o := w.orders[run]; o != nil {
		if o.stop {
			return
		}
		o.cancel()
	}
	ctx, cancel := context.WithCancel(r.runContext)
	o := &order{stop: true, cancel: cancel}
	w.orders[run] = o
	r.orderTasks.Go(func() { r.sendStop(ctx, w, run, o) })
}

// isCurrent reports whether an order is still valid: same incarnation of the worker, same epoch, no newer order for the run.
func (r *Runner) isCurrent(w *workerState, run host.Run, o *order) bool {
	return r.worker == w && !w.terminated && w.orders[run] == o
}

// sendStart sends a start until the worker answers; one that may have been carried out is withdrawn by a stop. The outcome is unknown from the beginning if
// an earlier call for the run is outstanding.
func (r *Runner) sendStart(ctx context.Context, w *workerState, run host.Run, o *order, outcomeUnknown bool) {
	defer o.cancel()
	timeout := r.startTimeout.First()
	for attempt := 0; attempt < w.maxStartAttempts(outcomeUnknown); attempt++ {
		r.confirmWorker(ctx, w)
		if r.acceptListed(w, run, o) {
			return
		}
		until, fence, valid := r.prepareStart(w, run, o)
		if !valid {
			return
		}
		if until == 0 {
			break
		}
		if fence == 0 {
			// Whether the incarnation is still there is unknown: a start with a deadline on its clock must not reach the next one.
			wait.For(ctx, orderRetryDelay)
			continue
		}
		if ctx.Err() != nil {
			r.recordStartOutcome(w, run, startNotCarriedOut)
			return
		}
		refusal, err := r.tryStart(ctx, timeout, w.id, host.Start{
			Run: run, Text: o.text, Until: until, Fence: fence, Checkpoint: o.start.Checkpoint, Ticket: o.start.Ticket,
		})
		timeout = r.startTimeout.Extend(timeout)
		outcome := startOutcomeOf(refusal, err)
		r.recordStartOutcome(w, run, outcome)
		if err == nil && !r.fenceRaised(fence, refusal) && r.recordStartAnswer(w, run, o, refusal, outcomeUnknown) {
			if refusal == host.Accepted {
				r.confirmRun(r.runContext, w, run)
			}
			return
		}
		if fault.Is(err, fault.Stale) {
			return
		}
		outcomeUnknown = outcomeUnknown || outcome == startUnanswered
		wait.For(ctx, orderRetryDelay)
	}
	r.withdrawStart(w, run, o, outcomeUnknown)
}

// maxStartAttempts returns how often a start is sent to the worker before it is withdrawn.
func (w *workerState) maxStartAttempts(outcomeUnknown bool) int {
	if outcomeUnknown && w.mayReuseID() {
		return maxPatientAttempts
	}
	return maxStartAttempts
}

// acceptListed completes an order whose run the worker lists, although no start of it was answered: it must not be withdrawn.
func (r *Runner) acceptListed(w *workerState, run host.Run, o *order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := w.possibleRuns[run]
	if !r.isCurrent(w, run, o) || known == nil || known.startCalls == 0 || !w.lists(run) {
		return false
	}
	w.possibleRuns.recordAccepted(run)
	delete(w.orders, run)
	wait.Notify(r.reportDue)
	return true
}

// tryStart sends a start once, with a timeout for the answer.
func (r *Runner) tryStart(ctx context.Context, timeout time.Duration, id incarnation.ID, start host.Start) (host.Refusal, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	refusal, err := r.config.Worker.Start(bounded, id, start)
	if err == nil {
		r.startTimeout.Observe(time.Since(sentAt))
	}
	return refusal, err
}

// fenceRaised reports whether a call was refused because the fence was raised after it was sent.
func (r *Runner) fenceRaised(fence uint64, refusal host.Refusal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return refusal == host.RefusedFence && fence < r.fences.current
}

// prepareStart returns the deadline of a run to start, 0 if nothing may start any more, the fence to send the start under, 0 if it must wait for an answer of
// the worker, and whether the order is still valid.
func (r *Runner) prepareStart(w *workerState, run host.Run, o *order) (host.Clock, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.runDeadline(w)
	if w.report.Draining || r.leaseExpiryReported || !r.hall.allowsStart(r.config.Uptime.Now(), r.config.ClosureDelay) {
		until = 0
	}
	valid := r.isCurrent(w, run, o)
	if !valid || until == 0 || !r.mayStartOn(w) {
		return until, 0, valid
	}
	w.possibleRuns.recordStart(run)
	w.startsInFlight[run]++
	return until, r.fences.use(), valid
}

// withdrawStart gives up a start that was not accepted: by a stop if the worker may have carried it out.
func (r *Runner) withdrawStart(w *workerState, run host.Run, o *order, outcomeUnknown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isCurrent(w, run, o) {
		return
	}
	if !outcomeUnknown {
		o.refuse(w, run, host.RefusedBusy)
		wait.Notify(r.reportDue)
		return
	}
	r.logger.Warn("withdrawing a start without an answer; task=%s run=%d", run.Task, run.Number)
	r.stopRun(w, run)
}

// recordStartAnswer records the worker's answer to a start and reports whether the order is complete.
func (r *Runner) recordStartAnswer(w *workerState, run host.Run, o *order, refusal host.Refusal, outcomeUnknown bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isCurrent(w, run, o) {
		return true
	}
	switch {
	case refusal == host.Accepted:
		w.possibleRuns.recordAccepted(run)
		delete(w.orders, run)
		w.profiles[run] = o.start.Profile
		return true
	case refusal == host.RefusedLate:
		return false
	case outcomeUnknown && refusal != host.RefusedOld:
		return false
	}
	r.logger.Info("start refused; task=%s run=%d refusal=%s", run.Task, run.Number, refusal)
	o.refuse(w, run, refusal)
	wait.Notify(r.reportDue)
	return true
}

// sendStop sends a stop until the worker answers; the run has then ended and can no longer start.
func (r *Runner) sendStop(ctx context.Context, w *workerState, run host.Run, o *order) {
	defer o.cancel()
	for ctx.Err() == nil {
		r.mu.Lock()
		valid, fence := r.isCurrent(w, run, o), r.fences.use()
		r.mu.Unlock()
		if !valid {
			return
		}
		refusal, err := r.config.Worker.Stop(ctx, w.id, run, fence)
		if err == nil && (refusal == host.Accepted || refusal == host.RefusedOld) {
			r.awaitLateStart(ctx, w, run)
			r.recordStopped(w, run, o)
			return
		}
		if fault.Is(err, fault.Stale) {
			return
		}
		wait.For(ctx, orderRetryDelay)
	}
}

// recordStopped records that a stop was carried out.
func (r *Runner) recordStopped(w *workerState, run host.Run, o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isCurrent(w, run, o) {
		return
	}
	o.refuse(w, run, host.RefusedOld)
	wait.Notify(r.reportDue)
}

// parseRun parses a run, false if its task is not a valid task id.
func parseRun(r link.Run) (host.Run, bool) {
	id, ok := r.TaskID()
	return host.Run{Task: id, Number: r.Number}, ok
}

func wireRun(run host.Run) link.Run { return link.NewRun(run.Task, run.Number) }
