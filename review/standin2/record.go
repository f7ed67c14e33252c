package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// entry is one line of the record.
type entry struct {
	at                 time.Duration
	what, worker, life string
	task               string
	number             int
	detail             string
}

// record holds what was sent, answered and run, in order.
type record struct {
	mu      sync.Mutex
	began   time.Time
	entries []entry
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(what string, w *worker, task string, number int, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := entry{at: time.Since(r.began), what: what, task: task, number: number, detail: detail}
	if w != nil {
		e.worker, e.life = w.name, w.id
	}
	r.entries = append(r.entries, e)
}

func (r *record) note(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.add("note", nil, "", 0, text)
	fmt.Println(text)
}

func (r *record) all() []entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]entry(nil), r.entries...)
}

func (r *record) write(path string) {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer func() { _ = file.Close() }()
	for _, e := range r.all() {
		line := fmt.Sprintf("%9.3f %-7s", e.at.Seconds(), e.what)
		if e.life != "" {
			line += " " + e.life
		}
		if e.task != "" {
			line += fmt.Sprintf(" task=%s run=%d", e.task, e.number)
		}
		fmt.Fprintln(file, line, e.detail)
	}
}
