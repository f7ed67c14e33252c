package fleet

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// maxLease is the longest lease that a worker accepts if the fleet sets none, as on the users' sites.
const maxLease = 6 * time.Second

// maxListedEnds is how many ended runs a worker lists at once, as on the users' sites.
const maxListedEnds = 500

// incarnation is the time of a worker from a start to the next crash.
type incarnation struct {
	identity
	// key identifies the incarnation among those of all workers.
	key   string
	start time.Time
	// firstCall is when the first call reached the incarnation, zero if none has.
	firstCall time.Time
	sequence  uint64
	fence     uint64
	leaseEnd  time.Time
	running   map[job.TaskID]*run
	lastRuns  map[job.TaskID]int
	endedRuns []endedRun
	lastEnd   uint64
	// maxLease is the longest lease that the incarnation accepts.
	maxLease time.Duration
}

// run is a task's run in progress.
type run struct {
	number     int
	step       job.Step
	remaining  time.Duration
	startedAt  time.Time
	advancedAt time.Time
	percent    int
	// fails makes the run fail failureDelay after its start.
	fails bool
	// stopAt is when the stop of the run ends it, zero if it is not being stopped.
	stopAt time.Time
}

// outcome returns how a run ends now, and false if it goes on.
func (r *run) outcome(now time.Time, lapsed bool) (job.End, bool) {
	switch {
	case lapsed:
		return job.EndLapsed, true
	case !r.stopAt.IsZero():
		return job.EndStopped, now.After(r.stopAt)
	case r.fails && now.Sub(r.startedAt) >= failureDelay:
		return job.EndFailed, true
	}
	return job.EndDone, r.remaining <= 0 && !r.step.LongRunning
}

// endedRun is a run whose end is not acknowledged yet.
type endedRun struct {
	number uint64
	task   job.TaskID
	run    int
	kind   job.End
	// lapsed says that the worker's lease expired between the end of the run and its acknowledgement.
	lapsed bool
}

// newIncarnation returns an incarnation without runs.
func newIncarnation(id identity, maxLease time.Duration) *incarnation {
	return &incarnation{
		identity: id, key: fmt.Sprintf("%s/%d/%d", id.instance, id.startMillis, incarnationCount.Add(1)), start: time.Now(), maxLease: maxLease,
		running: make(map[job.TaskID]*run), lastRuns: make(map[job.TaskID]int),
	}
}

// incarnationCount counts the incarnations of all workers.
var incarnationCount atomic.Int64

// clock returns the monotonic clock in milliseconds, in which lease ends are given.
func (inc *incarnation) clock() int64 { return (inc.clockStart + time.Since(inc.start)).Milliseconds() }

// withStartTime adds the start time to a report or answer, if the incarnation reports it.
func (inc *incarnation) withStartTime(body map[string]any) map[string]any {
	if inc.startMillis != 0 {
		body["born"] = inc.startMillis
	}
	return body
}

// used returns the capacity reserved by all runs.
func (inc *incarnation) used() job.Size {
	var used job.Size
	for _, r := range inc.running {
		used = used.Plus(r.step.Reservation())
	}
	return used
}

// extendLease extends the lease to a time of the monotonic clock in milliseconds, by at most inc.maxLease from now.
func (inc *incarnation) extendLease(until int64) {
	end := inc.start.Add(time.Duration(until)*time.Millisecond - inc.clockStart)
	if limit := time.Now().Add(inc.maxLease); end.After(limit) {
		end = limit
	}
	if end.After(inc.leaseEnd) {
		inc.leaseEnd = end
	}
}

// renewalAnswer returns the body of the answer to a renewal.
func (inc *incarnation) renewalAnswer() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for id, r := range inc.running {
		running = append(running, []any{id.String(), r.number, "", r.progress(), r.step.Size.CPU})
	}
	for _, e := range inc.endedRuns[:min(len(inc.endedRuns), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.kind.String(), ""})
	}
	return inc.withStartTime(map[string]any{"clock-ms": inc.clock(), "running": running, "ended": ended})
}

// progress returns the progress of a run in percent, 100 for a long-running task.
func (r *run) progress() int {
	if r.step.LongRunning || r.step.Estimate == 0 {
		return 100
	}
	return 100 - int(100*r.remaining/r.step.Estimate)
}

// delayStart moves the start of an incarnation to the end of the worker's downtime.
func (inc *incarnation) delayStart(down time.Duration) {
	inc.start = inc.start.Add(down)
	if inc.startMillis != 0 {
		inc.startMillis += down.Milliseconds()
	}
}
