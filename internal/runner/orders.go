package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
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
	l := r.life
	if l == nil || l.report.Instance != orders.Instance {
		return link.Empty{}, fault.New(fault.Stale, "instance %s of the worker is not there", orders.Instance)
	}
	r.hall.learn(orders.Hall, r.hall.followed)
	for i := range orders.Starts {
		start := orders.Starts[i]
		run, ok := parseRun(start.Run)
		if !ok {
			return link.Empty{}, fault.New(fault.BadInput, "%q names no task", start.Task)
		}
		r.begin(l, run, &start, orders.Texts[string(run.Task.Job)])
	}
	for _, stop := range orders.Stops {
		run, ok := parseRun(stop)
		if !ok {
			return link.Empty{}, fault.New(fault.BadInput, "%q names no task", stop.Task)
		}
		r.end(l, run)
	}
	return link.Empty{}, nil
}

// begin carries out a start unless it is under way already.
func (r *Runner) begin(l *life, run host.Run, start *link.Start, text string) {
	if l.orders[run] != nil || run.Number <= l.refused[run.Task] {
		return
	}
	l.profiles[run] = start.Profile
	ctx, cancel := context.WithCancel(context.Background())
	o := &order{start: start, text: text, cancel: cancel}
	refusal := r.refusalOf(l, run, start)
	l.orders[run] = o
	if refusal != host.Accepted {
		o.refuse(l, run, refusal)
		wait.Wake(r.changed)
		return
	}
	go r.start(ctx, l, run, o)
}

// refusalOf returns why the agent refuses a start for itself, Accepted where it does not.
func (r *Runner) refusalOf(l *life, run host.Run, start *link.Start) host.Refusal {
	switch {
	case l.report.Draining:
		return host.RefusedBusy
	case start.Fills && l.overFor(pacing.LongOver):
		r.logger.Info("start refused beside a task that is over its target; task=%s run=%d", run.Task, run.Number)
		return host.RefusedBusy
	case !l.fits(run, start):
		r.logger.Info("start refused for want of room; task=%s run=%d taken=%v capacity=%v",
			run.Task, run.Number, l.taken(), l.report.Capacity)
		return host.RefusedRoom
	}
	return host.Accepted
}

// end carries out a stop, in place of a start that is under way.
func (r *Runner) end(l *life, run host.Run) {
	if o := l.orders[run]; o != nil {
		if o.stop {
			return
		}
		o.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	o := &order{stop: true, cancel: cancel}
	l.orders[run] = o
	go r.stop(ctx, l, run, o)
}

// current reports whether the order still counts: the same life of the worker, the same epoch, and no newer order.
func (r *Runner) current(l *life, run host.Run, o *order) bool {
	return r.life == l && l.orders[run] == o
}

// start tries a start until the worker answers; one that may have been done is taken back by a stop.
func (r *Runner) start(ctx context.Context, l *life, run host.Run, o *order) {
	defer o.cancel()
	doubtful := false
	patience := r.patience.First()
	for range orderAttempts {
		until, epoch, counts := r.allowed(l, run, o)
		if !counts || ctx.Err() != nil {
			return
		}
		if until == 0 {
			break
		}
		refusal, err := r.startWithin(ctx, patience, l.instance, host.Start{
			Run: run, Text: o.text, Until: until, Fence: epoch, Checkpoint: o.start.Checkpoint, Ticket: o.start.Ticket,
		})
		patience = r.patience.Longer(patience)
		if err == nil && r.started(l, run, o, refusal, doubtful) {
			return
		}
		stale := fault.Is(err, fault.Stale)
		doubtful = doubtful || !stale && !fault.Is(err, fault.Unavailable)
		if !doubtful {
			r.unasked(l, run)
		}
		if stale {
			return
		}
		wait.For(ctx, orderPause)
	}
	r.takeBack(l, run, o, doubtful)
}

// startWithin sends a start that waits for its answer for a time.
func (r *Runner) startWithin(ctx context.Context, patience time.Duration, instance string, start host.Start) (host.Refusal, error) {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	asked := time.Now()
	refusal, err := r.config.Worker.Start(bounded, instance, start)
	if err == nil {
		r.patience.Answered(time.Since(asked))
	}
	return refusal, err
}

// allowed returns up to when a start may run, 0 where nothing may start any more, the epoch to order it under, and whether the
// order still counts.
func (r *Runner) allowed(l *life, run host.Run, o *order) (host.Clock, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.until(l)
	if l.report.Draining || !r.hall.mayStart(r.config.Uptime.Now(), r.config.ClosedWithin) {
		until = 0
	}
	counts := r.current(l, run, o)
	if counts && until > 0 {
		l.begun.ask(run)
	}
	return until, r.epoch, counts
}

// takeBack gives up a start that was not accepted: by a stop, where the worker may have done it.
func (r *Runner) takeBack(l *life, run host.Run, o *order, doubtful bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.current(l, run, o) {
		return
	}
	if !doubtful {
		o.refuse(l, run, host.RefusedBusy)
		wait.Wake(r.changed)
		return
	}
	r.logger.Warn("start without an answer is taken back; task=%s run=%d", run.Task, run.Number)
	r.end(l, run)
}

// started takes the worker's answer to a start and reports whether the order is at its end.
func (r *Runner) started(l *life, run host.Run, o *order, refusal host.Refusal, doubtful bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.current(l, run, o) {
		return true
	}
	switch {
	case refusal == host.Accepted:
		l.begun.answer(run)
		delete(l.orders, run)
		l.profiles[run] = o.start.Profile
		return true
	case refusal == host.RefusedLate:
		return false
	case doubtful && refusal != host.RefusedOld:
		return false
	}
	r.logger.Info("start refused; task=%s run=%d refusal=%s", run.Task, run.Number, refusal)
	o.refuse(l, run, refusal)
	wait.Wake(r.changed)
	return true
}

// stop tries a stop until the worker answers; then the run is no more and never will be.
func (r *Runner) stop(ctx context.Context, l *life, run host.Run, o *order) {
	defer o.cancel()
	for ctx.Err() == nil {
		r.mu.Lock()
		epoch, valid := r.epoch, r.current(l, run, o)
		r.mu.Unlock()
		if !valid {
			return
		}
		refusal, err := r.config.Worker.Stop(ctx, l.instance, run, epoch)
		if err == nil && (refusal == host.Accepted || refusal == host.RefusedOld) {
			r.mu.Lock()
			o.refuse(l, run, host.RefusedOld)
			r.mu.Unlock()
			wait.Wake(r.changed)
			return
		}
		if fault.Is(err, fault.Stale) {
			return
		}
		wait.For(ctx, orderPause)
	}
}

// parseRun reads the name of a run, false where it names no task.
func parseRun(r link.Run) (host.Run, bool) {
	id, ok := r.TaskID()
	return host.Run{Task: id, Number: r.Number}, ok
}

func wireRun(run host.Run) link.Run { return link.NewRun(run.Task, run.Number) }
