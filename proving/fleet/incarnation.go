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
func (inc *incarnation) clock() int64 { return (inc.clockStart + time.Since(inc.start)).Milliseconds() }

// withStartTime adds what all accounts of the incarnation bear.
func (inc *incarnation) withStartTime(body map[string]any) map[string]any {
	if inc.startMillis != 0 {
		body["born"] = inc.startMillis
	}
	return body
}

// used returns the room that all runs take.
func (inc *incarnation) used() job.Size {
	var used job.Size
	for _, r := range inc.running {
		used = used.Plus(r.step.Reservation())
	}
	return used
}

// extendLease extends the lease to a time of the clock in milliseconds.
func (inc *incarnation) extendLease(until int64) {
	end := inc.start.Add(time.Duration(until)*time.Millisecond - inc.clockStart)
	if limit := time.Now().Add(maxLease); end.After(limit) {
		end = limit
	}
	if end.After(inc.leaseEnd) {
		inc.leaseEnd = end
	}
}

// renewalAnswer returns what a hold is answered with.
func (inc *incarnation) renewalAnswer() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for id, r := range inc.running {
		running = append(running, []any{id.String(), r.number, "", r.progress(), r.step.Size.CPU})
	}
	for _, e := range inc.endedRuns {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.kind.String(), ""})
	}
	return inc.withStartTime(map[string]any{"clock-ms": inc.clock(), "running": running, "ended": ended})
}

// progress returns how far a run is in percent; what lasts is at work at once.
func (r *run) progress() int {
	if r.step.LongRunning || r.step.Estimate == 0 {
		return 100
	}
	return 100 - int(100*r.remaining/r.step.Estimate)
}

// delayStart moves the start of an incarnation, which is that of a process that is down before.
func (inc *incarnation) delayStart(down time.Duration) {
	inc.start = inc.start.Add(down)
	if inc.startMillis != 0 {
		inc.startMillis += down.Milliseconds()
	}
}
