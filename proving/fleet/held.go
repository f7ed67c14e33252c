package fleet

import (
	"time"

	"github.com/valyala/fasthttp"
)

// heldCall is a call that a worker holds open. carryOut is called with the worker's mutex held.
type heldCall struct {
	path, expected string
	order          order
	heldAt         time.Time
	// inc is the incarnation that carries the call out, reason why it refuses it.
	inc    *incarnation
	reason string
	// decided is closed once the call is carried out or refused.
	decided chan struct{}
}

// isMisdirected reports whether the call names another worker than the one that could carry it out.
func (c *heldCall) isMisdirected() bool { return c.expected != "" && c.expected != c.inc.instance }

// CrashDark ends all runs and starts a new incarnation after a downtime, in which calls are held open and heartbeats are not sent. They are held from
// before the crash on, as by a process that hangs. The new incarnation carries them out in the order in which they came.
func (w *Worker) CrashDark(hangs, down time.Duration) {
	w.hold(hangs + down)
	<-time.After(hangs)
	w.crashFor(down)
	<-time.After(down)
	w.release()
}

// hold holds calls open, at least for a time and until they are released.
func (w *Worker) hold(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds, w.heldUntil = true, later(w.heldUntil, time.Now().Add(d))
}

// crashFor ends all runs and starts a new incarnation after a downtime.
func (w *Worker) crashFor(down time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backAt = later(w.backAt, time.Now().Add(down))
	w.restart()
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// release carries out the held calls unless another crash holds them for longer.
func (w *Worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Before(w.heldUntil) || now.Before(w.backAt) {
		return
	}
	for _, c := range w.held {
		c.inc = w.incarnation
		if !c.isMisdirected() {
			c.reason = w.carryOut(c.path, c.inc, c.order)
			w.logf("%s %s run %d on %s, fence %d, held %v, %q", c.path, c.order.Task, c.order.Run, c.inc.key, c.order.Fence, time.Since(c.heldAt).Round(time.Millisecond), c.reason)
		}
		close(c.decided)
	}
	w.held, w.holds = nil, false
}

// handleHeld holds a call open and answers it once it is carried out; it reports false if the worker holds no calls.
func (w *Worker) handleHeld(ctx *fasthttp.RequestCtx, o order) bool {
	c := &heldCall{
		path: string(ctx.Path()), expected: string(ctx.Request.Header.Peek(instanceHeader)), order: o, heldAt: time.Now(), decided: make(chan struct{}),
	}
	w.mu.Lock()
	if !w.holds {
		w.mu.Unlock()
		return false
	}
	w.held = append(w.held, c)
	w.mu.Unlock()
	<-c.decided
	switch {
	case c.isMisdirected():
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
	case c.path == "/hold" && c.reason == "":
		w.recordFirstCall(c.inc)
		w.answerRenewal(ctx, c.inc, o)
	default:
		w.recordFirstCall(c.inc)
		answerOrder(ctx, c.inc, c.reason)
	}
	return true
}

// carryOut carries out a call of any kind and returns the reason of a refusal; w.mu is held.
func (w *Worker) carryOut(path string, inc *incarnation, o order) string {
	if path == "/hold" {
		return w.renewLocked(inc, o)
	}
	return w.executeLocked(path, inc, o)
}
