package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// A worker crashes crashCount times, first after firstCrash, then crashInterval apart, and is back after crashDowntime.
	crashCount    = 5
	firstCrash    = 2500 * time.Millisecond
	crashInterval = 4500 * time.Millisecond
	crashDowntime = 1500 * time.Millisecond
	// crashWork is the work of each finite task, crashWatch how long the jobs are watched after the last crash.
	crashWork  = 20 * time.Second
	crashWatch = 30 * time.Second
	// attempts is the number of failed runs that fails a job of the queue.
	attempts = 3
)

// crashes plays a worker that crashes several times while it runs the tasks of three jobs that need its label: one that lasts and two that save
// their progress.
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
	watch := step{Count: 1, CPU: 2000, Memory: 2000, Estimate: 300, Lasts: true, Requires: "b"}
	report := step{Count: 1, CPU: 2000, Memory: 2000, Estimate: crashWork.Milliseconds(), Saves: true, Requires: "b", work: crashWork}
	jobs := []string{"00000000000c0010", "00000000000c0011", "00000000000c0012"}
	for n, task := range []step{watch, report, report} {
		if err := f.submit(jobs[n], "text", task); err != nil {
			return failed, err.Error()
		}
	}
	time.Sleep(firstCrash)
	for n := range crashCount {
		if n > 0 {
			time.Sleep(crashInterval)
		}
		if !calm {
			f.workers[10].crash(crashDowntime)
		}
	}
	time.Sleep(crashWatch)
	var lost []string
	for n, id := range jobs {
		failures := 0
		for _, l := range w.livesOf(id) {
			if l.how == "failed" {
				failures++
			}
		}
		state := f.state(id)
		sound := state == "completed" || n == 0 && state == "running" && len(w.atWork(id)) == 1
		if !sound && failures < attempts {
			lost = append(lost, fmt.Sprintf("%s is %q after %d failed runs", id, state, failures))
		}
	}
	if len(lost) > 0 {
		return broken, "LOST: " + strings.Join(lost, "; ")
	}
	return held, "the finite jobs are completed, the lasting one runs"
}
