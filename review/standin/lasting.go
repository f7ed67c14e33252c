package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// lastingCase hands in a job whose task lasts. The worker that runs it is lost for good, and a little later all entries are killed at once and
// started again. The other workers are well and empty, so the task has to run again by the end of the first three calm seconds that follow
// four others.
func lastingCase(f *fleet, trouble bool) (bool, error) {
	const (
		id       = "5c0e7a21d94b36fa"
		attempts = 3
		// killAfter is the time from the loss of the worker to the kill of the entries.
		killAfter = 1500 * time.Millisecond
		// contact is contact-ms: the time after a disruption from which machines count as in touch. The rule's calm seconds follow it.
		contact = 3 * time.Second
		calm    = 4*time.Second + 3*time.Second
	)
	if err := f.begin(configuration(attempts)); err != nil {
		return false, err
	}
	f.catalog.addStep(id, 0, step{Count: 1, CPU: 3200, Memory: 6400, Work: time.Hour})
	accepted := f.submit(id, map[string]any{
		"spec": "watch",
		"steps": []map[string]any{{
			"count": 1, "cpu": 3200, "mem-mb": 6400, "estimate-ms": 500, "long-running": true,
		}},
	})
	if !accepted {
		return false, errors.New("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	starts := f.record.startsSoFar()
	if len(starts) != 1 {
		return false, fmt.Errorf("the task was started %d times before the disruption", len(starts))
	}
	var lost *worker
	for _, w := range f.workers {
		if w.name == starts[0].worker {
			lost = w
		}
	}
	if trouble {
		f.record.line("%s is lost for good", lost.name)
		lost.crash()
		time.Sleep(killAfter)
		for _, e := range f.entries {
			f.record.line("%s is killed", e.name)
			e.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay + 100*time.Millisecond)
	}
	began := time.Now()
	f.record.line("no disruption from here on")
	deadline := began.Add(contact + calm)
	for time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		if trouble && len(f.record.startsSoFar()) > 1 {
			f.record.line("the task runs again")
			return true, nil
		}
	}
	if !trouble {
		f.record.line("the task has run all the while")
		return len(f.record.startsSoFar()) == 1, nil
	}
	f.record.line("the task has not run for the last %d ms, though ten workers are empty", time.Since(began).Milliseconds())
	for len(f.record.startsSoFar()) < 2 && time.Since(began) < 30*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	f.record.line("the task runs again after %d ms", time.Since(began).Milliseconds())
	return false, nil
}
