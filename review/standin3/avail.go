package main

import (
	"fmt"
	"time"
)

const (
	availTasks   = 4
	availMayMiss = 1
	availWatch   = 10 * time.Second
)

// avail plays serving tasks whose load rises on some workers, beside a lasting job of tasks that fill, of which one may be away at once.
func avail(w *world, calm bool) (int, string) {
	f, err := start(w, 3, 11, func(int, *worker) {})
	defer f.close()
	if err != nil {
		return failed, err.Error()
	}
	const serving, filling = "00000000000c0040", "00000000000c0041"
	scan := step{
		Count: availTasks, CPU: 3000, Memory: 2000, Estimate: 300, Lasts: true, Image: "scan", Fills: true, Saves: true, MayMiss: availMayMiss, AtMost: 1,
	}
	if err := f.submit(filling, "scan", scan); err != nil {
		return failed, err.Error()
	}
	time.Sleep(2 * time.Second)
	web := step{Count: 11, CPU: 3000, Memory: 4000, Estimate: 300, Lasts: true, AtMost: 1, Image: "web", TargetMS: servingTarget}
	if err := f.submit(serving, "web", web); err != nil {
		return failed, err.Error()
	}
	time.Sleep(6 * time.Second)
	if n, m := len(w.atWork(serving)), len(w.atWork(filling)); n != web.Count || m != availTasks {
		return failed, fmt.Sprintf("%d of the serving tasks run and %d of those that fill", n, m)
	}
	if !calm {
		for _, made := range f.workers {
			if made.runsJob(filling) {
				w.note("load     worker=%s the tail of its serving task is now %d ms, the target %d ms", made.name, busyTail, servingTarget)
				made.setTail(busyTail)
			}
		}
	}
	time.Sleep(availWatch)
	return verdictAvail(w, filling)
}

// runsJob reports whether the worker runs a task of a job.
func (w *worker) runsJob(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		if job, _ := jobOf(task); job == id {
			return true
		}
	}
	return false
}

// verdictAvail checks whether a task at work was ended by a stop while as many others of its step were away as may be.
func verdictAvail(w *world, id string) (int, string) {
	lives := w.livesOf(id)
	stops := 0
	for _, stopped := range lives {
		if stopped.stopped.IsZero() || stopped.stopped.Sub(stopped.started) < startupTime {
			continue
		}
		stops++
		away := 0
		for i := range availTasks {
			task := fmt.Sprintf("%s.0.0.%d", id, i)
			if task != stopped.task && !atWorkAt(lives, task, stopped.stopped) {
				away++
			}
		}
		if away >= availMayMiss {
			return broken, fmt.Sprintf("AVAIL: %s was stopped while %d others of its step were away, of which %d may be", stopped.task, away, availMayMiss)
		}
	}
	return held, fmt.Sprintf("%d tasks were stopped, none while another was away", stops)
}

// atWorkAt reports whether a task had started up at a time and was not being stopped.
func atWorkAt(lives []life, task string, at time.Time) bool {
	for _, l := range lives {
		up := l.started.Add(startupTime).Before(at)
		over := !l.stopped.IsZero() && l.stopped.Before(at) || !l.ended.IsZero() && l.ended.Before(at)
		if l.task == task && up && !over {
			return true
		}
	}
	return false
}
