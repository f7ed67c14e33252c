package main

import (
	"fmt"
	"time"
)

const (
	crashCount    = 5
	crashInterval = 4 * time.Second
	crashDowntime = 1500 * time.Millisecond
	crashWork     = 20 * time.Second
)

// crashes plays a worker that crashes five times while it runs the only task of a job that needs its label.
func crashes(w *world, calm bool) (int, string) {
	f, err := start(w, 3, 11, func(n int, made *worker) {
		if n == 10 {
			made.labels[0] = "b"
		}
	})
	defer f.close()
	if err != nil {
		return failed, err.Error()
	}
	const id = "00000000000c0009"
	task := step{Count: 1, CPU: 2000, Memory: 2000, Estimate: crashWork.Milliseconds(), Saves: true, Requires: "b", work: crashWork}
	if err := f.submit(id, "report", task); err != nil {
		return failed, err.Error()
	}
	for range crashCount {
		time.Sleep(crashInterval)
		if !calm {
			f.workers[10].crash(crashDowntime)
		}
	}
	state := ""
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		if state = f.state(id); state == "completed" || state == "failed" {
			break
		}
	}
	failures := 0
	for _, l := range w.livesOf(id) {
		if l.how == "failed" {
			failures++
		}
	}
	switch {
	case state == "failed" && failures < 3:
		return broken, fmt.Sprintf("LOST: the job is shown as failed, though %d of its runs ended failed and its queue allows 3", failures)
	case state == "completed":
		return held, "the job is completed"
	}
	return broken, fmt.Sprintf("LOST: the job is shown as %q 30 s after the last crash", state)
}
