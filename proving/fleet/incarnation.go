package fleet

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// longestHold is the longest time for which a worker lets itself be held, as on the users' sites.
const longestHold = 6 * time.Second

// life is one life of a worker: from its start to a crash.
type life struct {
	birth
	// key tells the incarnations of all workers apart in the books.
	key   string
	began time.Time
	// contacted is when a call reached it first, zero before that.
	contacted time.Time
	sequence  uint64
	fence     uint64
	held      time.Time
	running   map[job.TaskID]*run
	latest    map[job.TaskID]int
	ends      []ending
	next      uint64
}

// run is a run of a task that goes on.
type run struct {
	number  int
	step    job.Step
	left    time.Duration
	looked  time.Time
	percent int
}

// ending is a run that is over and not yet taken note of.
type ending struct {
	number uint64
	task   job.TaskID
	run    int
	how    job.End
	// lapsed says that the worker's time was over after the end, before it was taken note of.
	lapsed bool
}

// newLife returns an incarnation that runs nothing.
func newLife(b birth) *life {
	return &life{
		birth: b, key: fmt.Sprintf("%s/%d/%d", b.instance, b.born, births.Add(1)), began: time.Now(),
		running: make(map[job.TaskID]*run), latest: make(map[job.TaskID]int),
	}
}

// births counts the incarnations of all workers.
var births atomic.Int64

// clock returns the time of the steady clock in milliseconds, by which the lease is told.
func (l *life) clock() int64 { return (l.clockStart + time.Since(l.began)).Milliseconds() }

// describe adds what all accounts of the incarnation bear.
func (l *life) describe(account map[string]any) map[string]any {
	if l.born != 0 {
		account["born"] = l.born
	}
	return account
}

// used returns the room that all runs take.
func (l *life) used() job.Size {
	var used job.Size
	for _, r := range l.running {
		used = used.Plus(r.step.Reservation())
	}
	return used
}

// prolong extends the lease to a time of the clock in milliseconds.
func (l *life) prolong(until int64) {
	end := l.began.Add(time.Duration(until)*time.Millisecond - l.clockStart)
	if latest := time.Now().Add(longestHold); end.After(latest) {
		end = latest
	}
	if end.After(l.held) {
		l.held = end
	}
}

// view returns what a hold is answered with.
func (l *life) view() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for id, r := range l.running {
		running = append(running, []any{id.String(), r.number, "", r.progress(), r.step.Size.CPU})
	}
	for _, e := range l.ends {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.how.String(), ""})
	}
	return l.describe(map[string]any{"clock-ms": l.clock(), "running": running, "ended": ended})
}

// progress returns how far a run is in percent; what lasts is at work at once.
func (r *run) progress() int {
	if r.step.LongRunning || r.step.Estimate == 0 {
		return 100
	}
	return 100 - int(100*r.left/r.step.Estimate)
}

// delay moves the start of an incarnation, which is that of a process that is down before.
func (l *life) delay(down time.Duration) {
	l.began = l.began.Add(down)
	if l.born != 0 {
		l.born += down.Milliseconds()
	}
}
