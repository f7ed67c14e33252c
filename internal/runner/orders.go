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
	// orderRetryDelay lies between two attempts at an order that got no answer.
	orderRetryDelay = 80 * time.Millisecond
	// maxStartAttempts is how often a start is tried before it is taken back by a stop.
	maxStartAttempts = 4
	// minStartTimeout and startMost bound how long a start waits for its answer: eight times the usual time, which is some milliseconds
	// on one VM, and longer with each attempt. A repeated start is answered like the first.
	minStartTimeout = 100 * time.Millisecond
	maxStartTimeout = 600 * time.Millisecond
)

// handleOrders takes the lead's orders and carries them out afterwards; orders of an earlier lead or connection are refused.
func (r *Runner) handleOrders(_ context.Context, p *rpc.Peer, orders link.Orders) (link.Empty, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if orders.Epoch != r.epoch || p != r.session {
		return link.Empty{}, fault.New(fault.Stale, "the agent follows epoch %d", r.epoch)
	}
	w := r.worker
	if meant := orders.Incarnation(); w == nil || !w.id.MayEqual(meant) {
		return link.Empty{}, fault.New(fault.Stale, "incarnation %s of the worker has ended", meant)
	}
	if w.terminated {
		// The next report says so; meanwhile they would reach the next incarnation under the same id.
		r.logger.Info("orders for an ended incarnation are dropped; instance=%s starts=%d stops=%d", w.id, len(orders.Starts), len(orders.Stops))
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

// startRun carries out a start unless it is under way already.
func (r *Runner) startRun(w *workerState, run host.Run, start *link.Start, text string) {
	if w.orders[run] != nil || run.Number <= w.refused[run.Task] {
		return
	}
	w.profiles[run] = start.Profile
	if w.lists(run) {
		// Sent once more it could reach the next incarnation under the same id.
		return
	}
	ctx, cancel := context.WithCancel(r.runContext)
	o := &order{start: start, text: text, cancel: cancel}
	refusal := r.checkStart(w, run, start)
	w.orders[run] = o
	if refusal != host.Accepted {
		o.refuse(w, run, refusal)
		wait.Notify(r.reportDue)
		return
	}
	r.orderTasks.Go(func() { r.sendStart(ctx, w, run, o) })
}

// checkStart returns why the agent refuses a start for itself, Accepted where it does not.
func (r *Runner) checkStart(w *workerState, run host.Run, start *link.Start) host.Refusal {
	switch {
	case w.report.Draining:
		return host.RefusedBusy
	case start.BestEffort && w.violatesTargetFor(pacing.ViolationGrace):
		r.logger.Info("start refused beside a task that is over its target; task=%s run=%d", run.Task, run.Number)
		return host.RefusedBusy
	case !w.fits(run, start):
		r.logger.Info("start refused for want of room; task=%s run=%d taken=%v capacity=%v",
			run.Task, run.Number, w.reserved(), w.report.Capacity)
		return host.RefusedCapacity
	}
	return host.Accepted
}

// stopRun carries out a stop, in place of a start that is under way.
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

// isCurrent reports whether the order still counts: the same incarnation of the worker, the same epoch, and no newer order.
func (r *Runner) isCurrent(w *workerState, run host.Run, o *order) bool {
	return r.worker == w && !w.terminated && w.orders[run] == o
}

// sendStart tries a sendStart until the worker answers; one that may have been done is taken back by a stop.
func (r *Runner) sendStart(ctx context.Context, w *workerState, run host.Run, o *order) {
	defer o.cancel()
	doubtful := false
	patience := r.startTimeout.First()
	for range maxStartAttempts {
		until, fence, counts := r.prepareStart(w, run, o)
		if !counts || ctx.Err() != nil {
			return
		}
		if until == 0 {
			break
		}
		refusal, err := r.tryStart(ctx, patience, w.id, host.Start{
			Run: run, Text: o.text, Until: until, Fence: fence, Checkpoint: o.start.Checkpoint, Ticket: o.start.Ticket,
		})
		patience = r.startTimeout.Extend(patience)
		if err == nil && !r.fenceRaised(fence, refusal) && r.recordStartAnswer(w, run, o, refusal, doubtful) {
			return
		}
		stale := fault.Is(err, fault.Stale)
		unanswered := err != nil && !stale && !fault.Is(err, fault.Unavailable)
		doubtful = doubtful || unanswered
		r.recordFailedStart(w, run, unanswered, doubtful)
		if stale {
			return
		}
		wait.For(ctx, orderRetryDelay)
	}
	r.withdrawStart(w, run, o, doubtful)
}

// tryStart sends a start that waits for its answer for a time.
func (r *Runner) tryStart(ctx context.Context, patience time.Duration, id incarnation.ID, start host.Start) (host.Refusal, error) {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	asked := time.Now()
	refusal, err := r.config.Worker.Start(bounded, id, start)
	if err == nil {
		r.startTimeout.Observe(time.Since(asked))
	}
	return refusal, err
}

// fenceRaised reports whether a call was refused because the fence was raised after it was sent.
func (r *Runner) fenceRaised(fence uint64, refusal host.Refusal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return refusal == host.RefusedFence && fence < r.fences.current
}

// prepareStart returns up to when a start may run, 0 where nothing may start any more, the fence to send it under, and whether the
// order still counts.
func (r *Runner) prepareStart(w *workerState, run host.Run, o *order) (host.Clock, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.runDeadline(w)
	if w.report.Draining || !r.hall.allowsStart(r.config.Uptime.Now(), r.config.ClosedWithin) {
		until = 0
	}
	counts := r.isCurrent(w, run, o)
	if !counts || until == 0 {
		return until, 0, counts
	}
	w.possibleRuns.recordStart(run)
	return until, r.fences.use(), counts
}

// withdrawStart gives up a start that was not accepted: by a stop, where the worker may have done it.
func (r *Runner) withdrawStart(w *workerState, run host.Run, o *order, doubtful bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isCurrent(w, run, o) {
		return
	}
	if !doubtful {
		o.refuse(w, run, host.RefusedBusy)
		wait.Notify(r.reportDue)
		return
	}
	r.logger.Warn("start without an answer is taken back; task=%s run=%d", run.Task, run.Number)
	r.stopRun(w, run)
}

// recordStartAnswer takes the worker's answer to a start and reports whether the order is at its end.
func (r *Runner) recordStartAnswer(w *workerState, run host.Run, o *order, refusal host.Refusal, doubtful bool) bool {
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
	case doubtful && refusal != host.RefusedOld:
		return false
	}
	r.logger.Info("start refused; task=%s run=%d refusal=%s", run.Task, run.Number, refusal)
	o.refuse(w, run, refusal)
	wait.Notify(r.reportDue)
	return true
}

// sendStop tries a sendStop until the worker answers; then the run is no more and never will be.
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
			wait.For(ctx, r.lateStartDelay(w, run))
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

// parseRun reads the name of a run, false where it names no task.
func parseRun(r link.Run) (host.Run, bool) {
	id, ok := r.TaskID()
	return host.Run{Task: id, Number: r.Number}, ok
}

func wireRun(run host.Run) link.Run { return link.NewRun(run.Task, run.Number) }
