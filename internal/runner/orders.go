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
	// orderPause lies between two attempts at an order that got no answer.
	orderPause = 80 * time.Millisecond
	// orderAttempts is how often a start is tried before it is taken back by a stop.
	orderAttempts = 4
	// startLeast and startMost bound how long a start waits for its answer: eight times the usual time, which is some milliseconds
	// on one VM, and longer with each attempt. A repeated start is answered like the first.
	startLeast = 100 * time.Millisecond
	startMost  = 600 * time.Millisecond
)

// takeOrders takes the lead's orders and carries them out afterwards; orders of an earlier lead or connection are refused.
func (r *Runner) takeOrders(_ context.Context, p *rpc.Peer, orders link.Orders) (link.Empty, error) {
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
	r.hall.learn(orders.Hall, r.hall.followed)
	for i := range orders.Starts {
		start := orders.Starts[i]
		run, ok := parseRun(start.Run)
		if !ok {
			return link.Empty{}, fault.New(fault.BadInput, "%q names no task", start.Task)
		}
		r.begin(w, run, &start, orders.Texts[string(run.Task.Job)])
	}
	for _, stop := range orders.Stops {
		run, ok := parseRun(stop)
		if !ok {
			return link.Empty{}, fault.New(fault.BadInput, "%q names no task", stop.Task)
		}
		r.end(w, run)
	}
	return link.Empty{}, nil
}

// begin carries out a start unless it is under way already.
func (r *Runner) begin(w *workerState, run host.Run, start *link.Start, text string) {
	if w.orders[run] != nil || run.Number <= w.refused[run.Task] {
		return
	}
	w.profiles[run] = start.Profile
	if w.lists(run) {
		// Sent once more it could reach the next incarnation under the same id.
		return
	}
	ctx, cancel := context.WithCancel(r.lifetime)
	o := &order{start: start, text: text, cancel: cancel}
	refusal := r.refusalOf(w, run, start)
	w.orders[run] = o
	if refusal != host.Accepted {
		o.refuse(w, run, refusal)
		wait.Notify(r.changed)
		return
	}
	r.work.Go(func() { r.start(ctx, w, run, o) })
}

// refusalOf returns why the agent refuses a start for itself, Accepted where it does not.
func (r *Runner) refusalOf(w *workerState, run host.Run, start *link.Start) host.Refusal {
	switch {
	case w.report.Draining:
		return host.RefusedBusy
	case start.BestEffort && w.overFor(pacing.ViolationGrace):
		r.logger.Info("start refused beside a task that is over its target; task=%s run=%d", run.Task, run.Number)
		return host.RefusedBusy
	case !w.fits(run, start):
		r.logger.Info("start refused for want of room; task=%s run=%d taken=%v capacity=%v",
			run.Task, run.Number, w.taken(), w.report.Capacity)
		return host.RefusedCapacity
	}
	return host.Accepted
}

// end carries out a stop, in place of a start that is under way.
func (r *Runner) end(w *workerState, run host.Run) {
	if o := w.orders[run]; o != nil {
		if o.stop {
			return
		}
		o.cancel()
	}
	ctx, cancel := context.WithCancel(r.lifetime)
	o := &order{stop: true, cancel: cancel}
	w.orders[run] = o
	r.work.Go(func() { r.stop(ctx, w, run, o) })
}

// current reports whether the order still counts: the same incarnation of the worker, the same epoch, and no newer order.
func (r *Runner) current(w *workerState, run host.Run, o *order) bool {
	return r.worker == w && !w.terminated && w.orders[run] == o
}

// start tries a start until the worker answers; one that may have been done is taken back by a stop.
func (r *Runner) start(ctx context.Context, w *workerState, run host.Run, o *order) {
	defer o.cancel()
	doubtful := false
	patience := r.patience.First()
	for range orderAttempts {
		until, fence, counts := r.allowed(w, run, o)
		if !counts || ctx.Err() != nil {
			return
		}
		if until == 0 {
			break
		}
		refusal, err := r.startWithin(ctx, patience, w.id, host.Start{
			Run: run, Text: o.text, Until: until, Fence: fence, Checkpoint: o.start.Checkpoint, Ticket: o.start.Ticket,
		})
		patience = r.patience.Extend(patience)
		if err == nil && !r.outdated(fence, refusal) && r.started(w, run, o, refusal, doubtful) {
			return
		}
		stale := fault.Is(err, fault.Stale)
		unanswered := err != nil && !stale && !fault.Is(err, fault.Unavailable)
		doubtful = doubtful || unanswered
		r.unanswered(w, run, unanswered, doubtful)
		if stale {
			return
		}
		wait.For(ctx, orderPause)
	}
	r.takeBack(w, run, o, doubtful)
}

// startWithin sends a start that waits for its answer for a time.
func (r *Runner) startWithin(ctx context.Context, patience time.Duration, id incarnation.ID, start host.Start) (host.Refusal, error) {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	asked := time.Now()
	refusal, err := r.config.Worker.Start(bounded, id, start)
	if err == nil {
		r.patience.Observe(time.Since(asked))
	}
	return refusal, err
}

// outdated reports whether a call was refused because the fence was raised after it was sent.
func (r *Runner) outdated(fence uint64, refusal host.Refusal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return refusal == host.RefusedFence && fence < r.fences.present
}

// allowed returns up to when a start may run, 0 where nothing may start any more, the fence to send it under, and whether the
// order still counts.
func (r *Runner) allowed(w *workerState, run host.Run, o *order) (host.Clock, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.until(w)
	if w.report.Draining || !r.hall.mayStart(r.config.Uptime.Now(), r.config.ClosedWithin) {
		until = 0
	}
	counts := r.current(w, run, o)
	if !counts || until == 0 {
		return until, 0, counts
	}
	w.begun.ask(run)
	return until, r.fences.use(), counts
}

// takeBack gives up a start that was not accepted: by a stop, where the worker may have done it.
func (r *Runner) takeBack(w *workerState, run host.Run, o *order, doubtful bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.current(w, run, o) {
		return
	}
	if !doubtful {
		o.refuse(w, run, host.RefusedBusy)
		wait.Notify(r.changed)
		return
	}
	r.logger.Warn("start without an answer is taken back; task=%s run=%d", run.Task, run.Number)
	r.end(w, run)
}

// started takes the worker's answer to a start and reports whether the order is at its end.
func (r *Runner) started(w *workerState, run host.Run, o *order, refusal host.Refusal, doubtful bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.current(w, run, o) {
		return true
	}
	switch {
	case refusal == host.Accepted:
		w.begun.answer(run)
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
	wait.Notify(r.changed)
	return true
}

// stop tries a stop until the worker answers; then the run is no more and never will be.
func (r *Runner) stop(ctx context.Context, w *workerState, run host.Run, o *order) {
	defer o.cancel()
	for ctx.Err() == nil {
		r.mu.Lock()
		valid, fence := r.current(w, run, o), r.fences.use()
		r.mu.Unlock()
		if !valid {
			return
		}
		refusal, err := r.config.Worker.Stop(ctx, w.id, run, fence)
		if err == nil && (refusal == host.Accepted || refusal == host.RefusedOld) {
			wait.For(ctx, r.lateFor(w, run))
			r.stopped(w, run, o)
			return
		}
		if fault.Is(err, fault.Stale) {
			return
		}
		wait.For(ctx, orderPause)
	}
}

// stopped records that a stop was carried out.
func (r *Runner) stopped(w *workerState, run host.Run, o *order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.current(w, run, o) {
		return
	}
	o.refuse(w, run, host.RefusedOld)
	wait.Notify(r.changed)
}

// parseRun reads the name of a run, false where it names no task.
func parseRun(r link.Run) (host.Run, bool) {
	id, ok := r.TaskID()
	return host.Run{Task: id, Number: r.Number}, ok
}

func wireRun(run host.Run) link.Run { return link.NewRun(run.Task, run.Number) }
