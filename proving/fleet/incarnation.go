package fleet

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// maxLease is the longest time for which a worker lets itself be held, as on the users' sites.
const maxLease = 6 * time.Second

// incarnation is one incarnation of a worker: from its start to a crash.
type incarnation struct {
	identity
	// key tells the incarnations of all workers apart in the books.
	key   string
	start time.Time
	// firstCall is when a call reached it first, zero before that.
	firstCall time.Time
	sequence  uint64
	fence     uint64
	leaseEnd  time.Time
	running   map[job.TaskID]*run
	lastRuns  map[job.TaskID]int
	endedRuns []endedRun
	lastEnd   uint64
}

// run is a run of a task that goes on.
type run struct {
	number     int
	step       job.Step
	remaining  time.Duration
	advancedAt time.Time
	percent    int
}

// endedRun is a run that is over and not yet taken note of.
type endedRun struct {
	number uint64
	task   job.TaskID
	run    int
	kind   job.End
	// lapsed says that the worker's time was over after the end, before it was taken note of.
	lapsed bool
}

// newIncarnation returns an incarnation that runs nothing.
func newIncarnation(b identity) *incarnation {
	return &incarnation{
		identity: b, key: fmt.Sprintf("%s/%d/%d", b.instance, b.startMillis, incarnationCount.Add(1)), start: time.Now(),
		running: make(map[job.TaskID]*run), lastRuns: make(map[job.TaskID]int),
	}
}

// incarnationCount counts the incarnations of all workers.
var incarnationCount atomic.Int64

// clock returns the time of the steady clock in milliseconds, by which the lease is told.
func (l *incarnation) clock() int64 { return (l.clockStart + time.Since(l.start)).Milliseconds() }

// withStartTime adds what all accounts of the incarnation bear.
func (l *incarnation) withStartTime(body map[string]any) map[string]any {
	if l.startMillis != 0 {
		body["born"] = l.startMillis
	}
	return body
}

// used returns the room that all runs take.
func (l *incarnation) used() job.Size {
	var used job.Size
	for _, r := range l.running {
		used = used.Plus(r.step.Reservation())
	}
	return used
}

// extendLease extends the lease to a time of the clock in milliseconds.
func (l *incarnation) extendLease(until int64) {
	end := l.start.Add(time.Duration(until)*time.Millisecond - l.clockStart)
	if limit := time.Now().Add(maxLease); end.After(limit) {
		end = limit
	}
	if end.After(l.leaseEnd) {
		l.leaseEnd = end
	}
}

// renewalAnswer returns what a hold is answered with.
func (l *incarnation) renewalAnswer() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for id, r := range l.running {
		running = append(running, []any{id.String(), r.number, "", r.progress(), r.step.Size.CPU})
	}
	for _, e := range l.endedRuns {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.kind.String(), ""})
	}
	return l.withStartTime(map[string]any{"clock-ms": l.clock(), "running": running, "ended": ended})
}

// progress returns how far a run is in percent; what lasts is at work at once.
func (r *run) progress() int {
	if r.step.LongRunning || r.step.Estimate == 0 {
		return 100
	}
	return 100 - int(100*r.remaining/r.step.Estimate)
}

// delayStart moves the start of an incarnation, which is that of a process that is down before.
func (l *incarnation) delayStart(down time.Duration) {
	l.start = l.start.Add(down)
	if l.startMillis != 0 {
		l.startMillis += down.Milliseconds()
	}
}
