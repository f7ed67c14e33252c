package main

import (
	"errors"
	"time"
)

// gangCase hands in a gang of eight members, and one worker fails all that it starts for a while. A gang has failed once for each run with
// a failed end, however many of its members fail in that run.
func gangCase(f *fleet, trouble bool) (bool, error) {
	const (
		id       = "5c0e7a21d94b36f8"
		attempts = 2
		members  = 8
		work     = 1500 * time.Millisecond
		// greyTime is how long the worker fails what it starts.
		greyTime = 3 * time.Second
		limit    = 40 * time.Second
	)
	if err := f.begin(configuration(attempts)); err != nil {
		return false, err
	}
	f.catalog.addStep(id, 0, step{Count: members, CPU: 1800, Memory: 3200, Work: work, Gang: true})
	if trouble {
		grey := f.workers[0]
		grey.set(func() { grey.grey = true })
		f.record.line("%s fails all that it starts", grey.name)
		time.AfterFunc(greyTime, func() {
			grey.set(func() { grey.grey = false })
			f.record.line("%s is well again", grey.name)
		})
	}
	accepted := f.submit(id, map[string]any{
		"spec": "settle",
		"steps": []map[string]any{{
			"count": members, "cpu": 1800, "mem-mb": 3200, "estimate-ms": work.Milliseconds(), "gang": true, "same-rack": true,
		}},
	})
	if !accepted {
		return false, errors.New("the job was not accepted")
	}
	for began, n := time.Now(), 0; time.Since(began) < limit; n++ {
		switch f.state(n%entryCount, id) {
		case "completed":
			return true, nil
		case "failed":
			failedRuns := make(map[int]bool)
			for _, e := range f.record.endsOf("failed") {
				failedRuns[e.run] = true
			}
			f.record.line("the job is shown as failed; runs of the gang with a failed end: %d, attempts: %d", len(failedRuns), attempts)
			return len(failedRuns) >= attempts, nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false, errors.New("the job has not ended")
}
