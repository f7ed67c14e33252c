package timeline

import (
	"cmp"
	"slices"
	"sync"
)

// Recorder keeps the latest events of a process, up to a fixed number.
type Recorder struct {
	clock   *Clock
	process string

	mu     sync.Mutex
	events []Event
	next   int
}

// NewRecorder returns a recorder for a process that keeps the latest events, up to capacity.
func NewRecorder(clock *Clock, process string, capacity int) *Recorder {
	return &Recorder{clock: clock, process: process, events: make([]Event, 0, capacity)}
}

// Subject identifies the task, worker and request that an event is about; each may be empty.
type Subject struct {
	Task    string
	Worker  string
	Request string
}

// Record adds an event, and replaces the oldest one if the recorder is full.
func (r *Recorder) Record(kind Kind, subject Subject, text string) {
	event := NewEvent(r.clock.Now(), r.process, kind, subject.Task, subject.Worker, subject.Request, text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, event)
		return
	}
	r.events[r.next] = event
	r.next = (r.next + 1) % len(r.events)
}

// Since returns the kept events after a stamp, oldest first.
func (r *Recorder) Since(after Stamp) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for _, e := range r.events {
		if e.stamp > after {
			found = append(found, e)
		}
	}
	Sort(found)
	return found
}

// Sort sorts events by stamp, then by process.
func Sort(events []Event) {
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.stamp, b.stamp), cmp.Compare(a.process, b.process))
	})
}
