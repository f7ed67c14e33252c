package main

import (
	"errors"
	"time"
)

// crashCase hands in a job of one task. The worker that runs it crashes shortly after the start, and so does the next one; no other worker
// crashes, and no run of the task ever ends as failed.
func crashCase(f *fleet, trouble bool) (bool, error) {
	const (
		id       = "5c0e7a21d94b36f9"
		attempts = 4
		work     = 1500 * time.Millisecond
		crashes  = 2
		// crashAge is the age of the run at the crash; away is how long the worker stays away.
		crashAge = 100 * time.Millisecond
		away     = 4500 * time.Millisecond
		limit    = 40 * time.Second
	)
	if err := f.begin(configuration(attempts)); err != nil {
		return false, err
	}
	f.catalog.addStep(id, 0, step{Count: 1, CPU: 1800, Memory: 3200, Work: work})
	accepted := f.submit(id, map[string]any{
		"spec":  "settle",
		"steps": []map[string]any{{"count": 1, "cpu": 1800, "mem-mb": 3200, "estimate-ms": work.Milliseconds()}},
	})
	if !accepted {
		return false, errors.New("the job was not accepted")
	}
	began, crashed, asked := time.Now(), 0, 0
	for time.Since(began) < limit {
		time.Sleep(5 * time.Millisecond)
		if starts := f.record.startsSoFar(); trouble && crashed < crashes && len(starts) > crashed && time.Since(starts[len(starts)-1].at) >= crashAge {
			crashed++
			if err := f.crashWorker(starts[len(starts)-1].worker, away); err != nil {
				return false, err
			}
		}
		if time.Since(began) < time.Duration(asked)*250*time.Millisecond {
			continue
		}
		asked++
		switch f.state(asked%entryCount, id) {
		case "completed":
			return true, nil
		case "failed":
			ends := len(f.record.endsOf("failed"))
			f.record.line("the job is shown as failed; runs that ended as failed: %d, attempts: %d", ends, attempts)
			return ends >= attempts, nil
		}
	}
	return false, errors.New("the job has not ended")
}

// crashWorker crashes a worker, which returns as another life after a while.
func (f *fleet) crashWorker(name string, away time.Duration) error {
	for _, w := range f.workers {
		if w.name != name {
			continue
		}
		f.record.line("%s crashes", name)
		w.crash()
		time.AfterFunc(away, func() {
			if err := w.live(); err != nil {
				f.record.line("%s cannot return: %v", name, err)
			}
		})
		return nil
	}
	return errors.New("there is no worker " + name)
}
