package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// lookTimeout bounds a look, also of a worker that has become slow; the client of the worker may have a lower bound of its own.
const lookTimeout = 1500 * time.Millisecond

// look is a renewal that extends nothing and is answered at once. Unlike the views of the renewal loop, its view was certainly requested after the start
// calls that it counts.
type look struct {
	id      incarnation.ID
	renewal host.Renewal
	// startCalls counts the start calls of each run that had an outcome when the look began.
	startCalls map[host.Run]int
}

// maxConfirmationAge is how long after an answer of the worker a start may be sent. A worker that has crashed since takes the start as its next incarnation,
// perhaps after the task was placed elsewhere.
const maxConfirmationAge = 50 * time.Millisecond

// confirmedWithin reports whether the incarnation has answered within a time, and no call has failed since.
func (r *Runner) confirmedWithin(w *workerState, age time.Duration) bool {
	return !w.confirmedAt.IsZero() && r.config.Uptime.Now().Sub(w.confirmedAt) <= age
}

// mayStartOn reports whether a start that is sent now would reach the present incarnation, as far as the agent can know.
func (r *Runner) mayStartOn(w *workerState) bool {
	return !w.unconfirmed && (!w.mayReuseID() || r.confirmedWithin(w, maxConfirmationAge))
}

// confirmWorker looks at the worker unless it has just answered, or a call has failed since: the renewal loop waits for its next answer then.
func (r *Runner) confirmWorker(ctx context.Context, w *workerState) {
	if w.mayReuseID() {
		r.lookUnless(ctx, func() bool { return w.unconfirmed || r.confirmedWithin(w, maxConfirmationAge) })
	}
}

// confirmRun looks at the worker unless it has listed a run since its start. It waits a little, so that one look serves all starts of that time.
func (r *Runner) confirmRun(ctx context.Context, w *workerState, run host.Run) {
	if w.mayReuseID() {
		wait.For(ctx, maxConfirmationAge)
		r.lookUnless(ctx, func() bool { return w.possibleRuns[run] == nil || w.possibleRuns[run].listed() })
	}
}

// lookUnless asks for a view unless it is not needed, also by the end of the look in progress.
func (r *Runner) lookUnless(ctx context.Context, unneeded func() bool) {
	needed := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return !unneeded()
	}
	if !needed() {
		return
	}
	select {
	case <-ctx.Done():
		return
	case r.looking <- struct{}{}:
	}
	defer func() { <-r.looking }()
	if needed() {
		r.look(ctx)
	}
}

// look asks for one view.
func (r *Runner) look(ctx context.Context) {
	l, due := r.nextLook()
	if !due {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	sentAt := time.Now()
	view, refusal, err := r.config.Worker.Renew(bounded, l.id, l.renewal)
	switch {
	case ctx.Err() != nil:
	case err == nil && refusal == host.Accepted && view.Incarnation != l.id:
		r.recordNextRuns(l.id, view)
		r.recordFailedRenewal(l.id, sentAt, errSameID)
	case err != nil:
		r.recordFailedRenewal(l.id, sentAt, err)
	case refusal == host.Accepted:
		r.recordLook(ctx, l, view)
	}
}

// nextLook returns the next look, false before the worker's first report and after the end of its incarnation.
func (r *Runner) nextLook() (look, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	if w == nil || w.terminated {
		return look{}, false
	}
	l := look{id: w.id, renewal: host.Renewal{Fence: r.fences.current}, startCalls: make(map[host.Run]int)}
	for run, known := range w.possibleRuns {
		if known.inProgress == 0 {
			l.startCalls[run] = known.startCalls
		}
	}
	return l, true
}

// recordLook records the view that a look returned.
func (r *Runner) recordLook(ctx context.Context, l look, view host.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	if w == nil || w.id != l.id || !r.recordAnswer(w, l.renewal, view) {
		return
	}
	w.possibleRuns.update(view, w.clockReadAt)
	r.applyView(ctx, w)
	for _, running := range view.Running {
		known := w.possibleRuns[running.Run]
		if calls, counted := l.startCalls[running.Run]; counted && known != nil && calls == known.startCalls {
			known.listings = viewsAfterEvent
		}
	}
}
