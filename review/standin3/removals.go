package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// storeDelay is how long an answer of the store takes in the deployments, slowDelay while it is slow.
	storeDelay = 4 * time.Millisecond
	slowDelay  = 240 * time.Millisecond
	// removalJobs is how many jobs are handed in. The product removes their records 150 s after their ends, in the window that is watched.
	removalJobs   = 1000
	removalStart  = 146 * time.Second
	removalWindow = 34 * time.Second
	forgetEvery   = time.Second
)

// removals plays a store that forgets its history while the records of jobs that ended long ago are removed. It takes over three minutes, more than a
// case may take.
func removals(w *world, calm bool) (int, string) {
	f, err := start(w, 3, 11, func(int, *worker) {})
	defer f.close()
	if err != nil {
		return failed, err.Error()
	}
	f.store.setDelay(storeDelay)
	begun := time.Now()
	var calls sync.WaitGroup
	for n := range removalJobs {
		calls.Go(func() {
			_ = f.submit(fmt.Sprintf("%016x", 0xc000000+n), "short", step{Count: 1, CPU: 300, Memory: 100, Estimate: 100, work: 100 * time.Millisecond})
		})
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	w.note("handed in after %v", time.Since(begun))
	time.Sleep(removalStart - time.Since(begun))
	if os.Getenv("SLOW") != "" {
		f.store.setDelay(slowDelay)
	}
	for end := time.Now().Add(removalWindow); time.Now().Before(end); time.Sleep(forgetEvery) {
		if !calm {
			w.note("store    forgets its history")
			f.store.forget()
		}
	}
	time.Sleep(5 * time.Second)
	again, tasks := 0, make(map[string]time.Time)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range w.lives {
		if ended, known := tasks[l.task]; known && l.started.Sub(ended) > time.Second {
			again++
			w.note("again    task=%s run=%d worker=%s %.1f s after it was done", l.task, l.number, l.worker, l.started.Sub(ended).Seconds())
		}
		if l.how == "done" {
			tasks[l.task] = l.ended
		}
	}
	if again > 0 {
		return broken, fmt.Sprintf("TWICE: %d tasks of %d jobs ran again after they were done", again, removalJobs)
	}
	return held, "no task ran again"
}
