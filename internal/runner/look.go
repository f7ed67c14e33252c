package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// lookTimeout bounds a look; the worker is on the same VM and has nothing to wait for.
const lookTimeout = 300 * time.Millisecond

// look is a renewal that extends nothing and is answered at once. Unlike the views of the renewal loop, its view was certainly requested after the start
// calls that it counts.
type look struct {
	id      incarnation.ID
	renewal host.Renewal
	// startCalls counts the start calls of each run that had an outcome when the look began.
	startCalls map[host.Run]int
}

// lookLoop asks for a view whenever one is due. A view that lists a run after its start was answered shows that the present incarnation has the run.
func (r *Runner) lookLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-r.lookDue:
			r.look(ctx)
		}
	}
	return ctx.Err()
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
	case err == nil && refusal == host.Accepted && view.Incarnation != l.id:
		r.recordNextRuns(l.id, view)
		r.recordFailedRenewal(l.id, sentAt, errSameID)
	case err != nil:
		r.recordFailedRenewal(l.id, sentAt, err)
	case refusal == host.Accepted:
		r.recordLook(ctx, l, view)
	}
}

// nextLook returns the next look, false before the worker's first report.
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
		if calls, counted := l.startCalls[running.Run]; counted && calls == known.startCalls {
			known.listings = viewsAfterEvent
		}
	}
}

// requestLook has the worker asked for a view.
func (r *Runner) requestLook() { wait.Notify(r.lookDue) }
