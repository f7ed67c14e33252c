package fleet

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// order is the body of an agent's call to its worker.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	LeaseEnd     int64  `json:"until-ms"`
	Fence        uint64 `json:"fence"`
	Acknowledged uint64 `json:"last-seen"`
	WaitMillis   int64  `json:"wait-ms"`
	Percent      int    `json:"percent"`
}

// instanceHeader names the worker that a call is for.
const instanceHeader = "X-Expect-Instance"

// Handle serves the worker's protocol.
func (w *Worker) Handle(ctx *fasthttp.RequestCtx) {
	var o order
	if !readJSON(ctx, &o) || w.handleHeld(ctx, o) {
		return
	}
	w.mu.Lock()
	silent, late, inc := w.unreachable(), w.orderDelay, w.incarnation
	w.mu.Unlock()
	expected, path := string(ctx.Request.Header.Peek(instanceHeader)), string(ctx.Path())
	switch {
	case silent:
		dropConnection(ctx)
	case expected != "" && expected != inc.instance:
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	case path == "/hold":
		w.recordFirstCall(inc)
		w.handleRenewal(ctx, inc, o)
	case late > 0 && o.Run%2 == 1:
		time.AfterFunc(late, func() { w.executeLate(path, inc, o) })
		dropConnection(ctx)
	default:
		w.recordFirstCall(inc)
		answerOrder(ctx, inc, w.execute(path, inc, o))
	}
}

// executeLate executes an order whose call got no answer, unless the worker is down when the order is due.
func (w *Worker) executeLate(path string, inc *incarnation, o order) {
	if !w.isDown() {
		w.execute(path, w.lateTarget(inc), o)
	}
}

// lateTarget returns the incarnation that executes a late order: the current one if it has the id of the addressed one.
func (w *Worker) lateTarget(inc *incarnation) *incarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.incarnation.instance == inc.instance {
		return w.incarnation
	}
	return inc
}

// execute executes an order and returns the reason of a refusal. An order to an ended incarnation or with a lower fence is
// refused.
func (w *Worker) execute(path string, inc *incarnation, o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executeLocked(path, inc, o)
}

// executeLocked is execute with w.mu held.
func (w *Worker) executeLocked(path string, inc *incarnation, o order) string {
	w.advance()
	id, ok := job.ParseTaskID(o.Task)
	switch {
	case w.incarnation != inc || o.Fence < inc.fence:
		return "fence"
	case !ok:
		return "old"
	}
	inc.fence = max(inc.fence, o.Fence)
	switch path {
	case "/run-start":
		return w.startRun(inc, id, o)
	case "/run-stop":
		w.stopRun(inc, id, o.Run)
	case "/pace":
		if r := inc.running[id]; r != nil && r.number == o.Run {
			r.percent = o.Percent
		}
	}
	return ""
}

// startRun starts a run unless the same or a later one was started or the lease in the order has expired; w.mu is held.
func (w *Worker) startRun(inc *incarnation, id job.TaskID, o order) string {
	r := inc.running[id]
	switch {
	case r != nil && r.number == o.Run:
		inc.extendLease(o.LeaseEnd)
		return ""
	case o.Run <= inc.lastRuns[id]:
		inc.extendLease(o.LeaseEnd)
		return "old"
	case o.LeaseEnd <= inc.clock():
		return "late"
	}
	inc.extendLease(o.LeaseEnd)
	inc.lastRuns[id] = o.Run
	step, taskTime, known := w.checker.step(id)
	inc.running[id] = &run{
		number: o.Run, step: step, remaining: taskTime + w.drawDelay(minStartTime, startTimeRange), startedAt: time.Now(), advancedAt: time.Now(), percent: 100, fails: w.failing,
	}
	if step.Gang {
		w.checker.recordMemberStart(id, o.Run)
	}
	w.logf("start %s run %d on %s, fence %d, lease left %v", id, o.Run, inc.key, o.Fence, time.Until(inc.leaseEnd).Round(time.Millisecond))
	w.checker.checkStart(inc, w.hall, id, o.Run, o.Spec)
	if crashesWorker(o.Spec, id) {
		w.scheduleCrash(inc, id, crashDelayOf(o.Spec))
	}
	if used := inc.used(); known && !w.allows(used) {
		w.checker.recordOvercommit(inc.key, id)
	}
	return ""
}

// stopRun ends a run, after the time that a stop takes, and prevents later starts of runs up to its number; w.mu is held.
func (w *Worker) stopRun(inc *incarnation, id job.TaskID, number int) {
	inc.lastRuns[id] = max(inc.lastRuns[id], number)
	r := inc.running[id]
	if r == nil || r.number != number || !r.stopAt.IsZero() {
		return
	}
	w.logf("stop %s run %d on %s", id, number, inc.key)
	if takes := w.drawDelay(minStopTime, stopTimeRange); takes > 0 {
		r.stopAt = time.Now().Add(takes)
		return
	}
	w.endRun(id, job.EndStopped)
}

// handleRenewal renews the lease and answers once there is an unacknowledged end, or after the requested wait.
func (w *Worker) handleRenewal(ctx *fasthttp.RequestCtx, inc *incarnation, o order) {
	reason := w.renew(inc, o)
	if reason != "" {
		answerOrder(ctx, inc, reason)
		return
	}
	w.answerRenewal(ctx, inc, o)
}

// answerRenewal answers a renewal once there is an unacknowledged end, or after the requested wait, and not while the worker holds calls.
func (w *Worker) answerRenewal(ctx *fasthttp.RequestCtx, inc *incarnation, o order) {
	deadline := time.Now().Add(time.Duration(o.WaitMillis) * time.Millisecond)
	for {
		w.mu.Lock()
		hasEnds := len(inc.endedRuns) > 0
		body := inc.renewalAnswer()
		ended, holds := w.incarnation != inc, w.holds
		w.mu.Unlock()
		switch {
		case holds:
		case ended:
			dropConnection(ctx)
			return
		case hasEnds || time.Now().After(deadline):
			writeJSON(ctx, body)
			return
		}
		<-time.After(pollInterval)
	}
}

// renew extends the lease, removes the acknowledged ends and returns the reason of a refusal.
func (w *Worker) renew(inc *incarnation, o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.renewLocked(inc, o)
}

// renewLocked is renew with w.mu held.
func (w *Worker) renewLocked(inc *incarnation, o order) string {
	w.advance()
	if w.incarnation != inc || o.Fence < inc.fence {
		return "fence"
	}
	inc.fence = max(inc.fence, o.Fence)
	if o.LeaseEnd > 0 {
		inc.extendLease(o.LeaseEnd)
	}
	inc.endedRuns = slices.DeleteFunc(inc.endedRuns, func(e endedRun) bool {
		if e.number > o.Acknowledged {
			return false
		}
		if e.kind == job.EndDone && !e.lapsed {
			w.checker.recordAcknowledgement(e.task)
		}
		return true
	})
	return ""
}
