package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// waitingCase hands in jobs that only one worker has the room for. That worker is unhealthy for a while and answers each start with 503,
// so that none of the jobs begins. All of them wait, and the queue's count has to tell so.
func waitingCase(f *fleet, trouble bool) (bool, error) {
	const (
		jobs     = 1
		attempts = 2
		work     = 500 * time.Millisecond
		// busyTime is how long the worker is unhealthy; countAfter is visible_ms + 2 s, after which the count is judged.
		busyTime   = 6500 * time.Millisecond
		countAfter = 5 * time.Second
		margin     = 200 * time.Millisecond
	)
	large := agentCount - 1
	f.room = func(i int) (cpu, memory int) {
		if i == large {
			return workerCPU * 3 / 2, workerMemory * 3 / 2
		}
		return workerCPU, workerMemory
	}
	if err := f.begin(configuration(attempts)); err != nil {
		return false, err
	}
	w := f.workers[large]
	if trouble {
		w.set(func() { w.busy = true })
		f.record.line("%s answers all starts with 503", w.name)
		time.AfterFunc(busyTime, func() {
			w.set(func() { w.busy = false })
			f.record.line("%s is well again", w.name)
		})
	}
	ids := []string{"5c0e7a21d94b3701", "5c0e7a21d94b3702", "5c0e7a21d94b3703"}
	for _, id := range ids[:jobs] {
		f.catalog.addStep(id, 0, step{Count: 1, CPU: 20000, Memory: 3200, Work: work})
		if !f.submit(id, map[string]any{
			"spec":  "settle",
			"steps": []map[string]any{{"count": 1, "cpu": 20000, "mem-mb": 3200, "estimate-ms": work.Milliseconds()}},
		}) {
			return false, errors.New("a job was not accepted")
		}
	}
	time.Sleep(countAfter + margin)
	kept := true
	for entry := range entryCount {
		begun := len(f.record.startsSoFar())
		status, body := f.call(entry, http.MethodGet, prefix, nil)
		var count struct {
			Waiting int `json:"waiting"`
		}
		if status != http.StatusOK || json.Unmarshal(body, &count) != nil {
			return false, errors.New("the count was not answered")
		}
		waiting := jobs - begun
		f.record.line("front-%d gives %d as waiting; jobs that have not begun: %d", entry+1, count.Waiting, waiting)
		kept = kept && 2*count.Waiting >= waiting
	}
	return kept, nil
}
