package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// outage is how long the store is silent, lateWrite how long after its arrival a call without an answer is done.
	outage    = 2 * time.Second
	lateWrite = 5800 * time.Millisecond
	// cancelBound is cancel_ms, cancelWatch how long the job is watched after its cancelling was acknowledged.
	cancelBound = 3 * time.Second
	cancelWatch = 10 * time.Second
	cancelWork  = 2 * time.Second
)

// cancelUnknown plays a client that cancels a job whose hand-in got no clear answer while the store was down.
func cancelUnknown(w *world, calm bool) (int, string) {
	f, err := start(w, 3, 11, func(int, *worker) {})
	defer f.close()
	if err != nil {
		return failed, err.Error()
	}
	f.store.lateBy = lateWrite
	if err := f.submit("00000000000c0020", "before", step{Count: 3, CPU: 500, Memory: 500, Estimate: 300, work: 300 * time.Millisecond}); err != nil {
		return failed, err.Error()
	}
	time.Sleep(time.Second)
	const id = "00000000000c0021"
	w.mu.Lock()
	w.jobs[id] = []step{{Count: 3, CPU: 500, Memory: 500, Estimate: cancelWork.Milliseconds(), work: cancelWork}}
	w.mu.Unlock()
	if !calm {
		w.note("store    silent")
		f.store.setSilent(true)
		time.AfterFunc(outage, func() {
			f.store.mu.Lock()
			w.note("store    answers again; writes=%d done_late=%d", f.store.writes, f.store.late)
			f.store.mu.Unlock()
			f.store.setSilent(false)
		})
		time.Sleep(200 * time.Millisecond)
	}
	w.note("send     POST %s%s", prefix, id)
	status, _ := w.call(http.MethodPost, f.fronts[0], prefix+id, map[string]any{"spec": "order", "steps": w.jobs[id]})
	if !calm && status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		return failed, fmt.Sprintf("the hand-in was answered with %d", status)
	}
	// The client leaves and cancels the job, again until that is acknowledged.
	acknowledged := time.Time{}
	for i := 1; acknowledged.IsZero(); i++ {
		if i > 30 {
			return failed, "the cancelling was not acknowledged"
		}
		w.note("send     DELETE %s%s", prefix, id)
		status, _ = w.call(http.MethodDelete, f.fronts[i%len(f.fronts)], prefix+id, nil)
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(cancelWatch)
	for _, l := range w.livesOf(id) {
		if late := l.started.Sub(acknowledged); late > cancelBound {
			return broken, fmt.Sprintf("UNASKED: %s started %.1f s after the cancelling of its job was acknowledged with %d", l.task, late.Seconds(), status)
		}
	}
	return held, fmt.Sprintf("nothing started after the acknowledgement with %d", status)
}
