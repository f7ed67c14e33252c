package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, as written to record.txt.
type record struct {
	began time.Time
	file  *os.File

	mu sync.Mutex
	// starts and ends hold the runs in their order.
	starts []startedRun
	ends   []endedRun
}

type startedRun struct {
	at     time.Time
	worker string
	task   string
	run    int
}

type endedRun struct {
	at     time.Time
	worker string
	task   string
	run    int
	how    string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

// line writes a line with the time since the beginning in seconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) start(worker, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, startedRun{at: time.Now(), worker: worker, task: task, run: run})
	r.write("%s starts %s run %d", worker, task, run)
}

func (r *record) end(worker, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, endedRun{at: time.Now(), worker: worker, task: task, run: run, how: how})
	r.write("%s lists the end of %s run %d: %s", worker, task, run, how)
}

// endsOf returns the ends of a kind.
func (r *record) endsOf(how string) []endedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []endedRun
	for _, e := range r.ends {
		if e.how == how {
			found = append(found, e)
		}
	}
	return found
}

// startsSoFar returns all starts.
func (r *record) startsSoFar() []startedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]startedRun(nil), r.starts...)
}
