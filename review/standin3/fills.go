package main

import (
	"fmt"
	"time"
)

const (
	// servingTarget is the target of the serving tasks in milliseconds, calmTail their usual tail latency, busyTail that under load.
	servingTarget = 50
	calmTail      = 5
	busyTail      = 60
	fillsCount    = 3
	// fillsWait is how long the tasks that fill are watched after their ends. Each has to run again 6 s after its last run, and may then not run
	// for 3 s.
	fillsWait  = 20 * time.Second
	fillsBound = 9500 * time.Millisecond
)

// fills plays serving tasks on all workers whose load rises, beside a lasting job of tasks that fill, each of which ends once.
func fills(w *world, calm bool) (int, string) {
	f, err := start(w, 3, 11, func(int, *worker) {})
	defer f.close()
	if err != nil {
		return failed, err.Error()
	}
	const serving, filling = "00000000000c0030", "00000000000c0031"
	web := step{Count: 11, CPU: 3000, Memory: 4000, Estimate: 300, Lasts: true, AtMost: 1, Image: "web", TargetMS: servingTarget}
	if err := f.submit(serving, "web", web); err != nil {
		return failed, err.Error()
	}
	scan := step{Count: fillsCount, CPU: 2000, Memory: 2000, Estimate: 300, Lasts: true, Image: "scan", Fills: true}
	if err := f.submit(filling, "scan", scan); err != nil {
		return failed, err.Error()
	}
	time.Sleep(5 * time.Second)
	if n, m := len(w.atWork(serving)), len(w.atWork(filling)); n != web.Count || m != fillsCount {
		return failed, fmt.Sprintf("%d of the serving tasks run and %d of those that fill", n, m)
	}
	if !calm {
		w.note("load     the tail of the serving tasks is now %d ms, their target %d ms", busyTail, servingTarget)
		for _, made := range f.workers {
			made.setTail(busyTail)
		}
	}
	time.Sleep(5 * time.Second)
	for _, made := range f.workers {
		made.failTasks(filling)
	}
	failedAt := time.Now()
	time.Sleep(fillsWait)
	late := fillsCount
	for _, l := range w.livesOf(filling) {
		if l.started.After(failedAt) && l.started.Sub(failedAt) < fillsBound && l.number > 1 {
			late--
		}
	}
	if late > 0 {
		return broken, fmt.Sprintf("LOST: %d of %d lasting tasks did not run again within %v, though there was room for them twice over", late, fillsCount, fillsBound)
	}
	return held, "all lasting tasks ran again"
}
