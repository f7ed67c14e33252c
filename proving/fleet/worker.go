package fleet

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/proving/relay"
)

// pollInterval is how often a worker looks for what has ended.
const pollInterval = 10 * time.Millisecond

// Worker stands in for a worker of the platform. It does not guard its room, so that a start beyond it shows.
type Worker struct {
	name    string
	checker *Checker
	agent   string
	hall    string

	mu sync.Mutex
	// capacity is what the worker says it has, larger what it had before its capacity shrank, which counts until counts.
	capacity         job.Size
	previousCapacity job.Size
	previousUntil    time.Time
	incarnation      *incarnation
	// silent makes it answer nothing, late does orders without an answer some time later.
	silent       bool
	orderDelay   time.Duration
	incarnations int
	// nextIdentity says how the next incarnation differs from the one before.
	nextIdentity IdentityFunc
	// backAt is when the worker answers and reports again after a task crashed it; meanwhile its door is shut.
	backAt time.Time
	relay  *relay.Relay
	// onCrash is called when a task crashes the worker.
	onCrash func()
}

// NewWorker returns a worker that reports to an agent; Run lets it live.
func NewWorker(name, hall, agent string, capacity job.Size, checker *Checker) *Worker {
	w := &Worker{name: name, checker: checker, agent: agent, capacity: capacity, hall: hall, onCrash: func() {}, nextIdentity: FreshID}
	w.restart()
	return w
}

// Crash kills all that runs and begins a new life.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
}

// restart begins a new life; w.mu is held once the worker runs.
func (w *Worker) restart() {
	if w.incarnation != nil {
		for id := range w.incarnation.running {
			w.checker.recordRunEnd(w.incarnation.key, id, false)
			w.checker.recordLostRun(id)
		}
	}
	w.incarnations++
	w.incarnation = newIncarnation(w.nextIdentity(w.name, w.incarnations))
	if down := time.Until(w.backAt); down > 0 {
		w.incarnation.delayStart(down)
	}
}

// SetIdentities sets how later incarnations of the worker differ from the ones before, and begins the first of them.
func (w *Worker) SetIdentities(next IdentityFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextIdentity = next
	w.restart()
}

const (
	// defaultCrashDelay is how long after its start a task that crashes its worker does so where its text says nothing else, downFor how
	// long the worker is away then.
	defaultCrashDelay = 10 * time.Millisecond
	crashDowntime     = 2500 * time.Millisecond
)

// OnCrash has something done whenever a task crashes the worker.
func (w *Worker) OnCrash(callback func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCrash = callback
}

// scheduleCrash lets a task that has just been started crash this life of the worker after a time.
func (w *Worker) scheduleCrash(inc *incarnation, id job.TaskID, delay time.Duration) {
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation != inc {
			return
		}
		w.checker.recordCrash(id)
		w.backAt = time.Now().Add(crashDowntime)
		w.restart()
		w.onCrash()
		w.relay.Refuse()
		time.AfterFunc(crashDowntime, w.reopen)
	})
}

// reopen lets connections in again after a crash.
func (w *Worker) reopen() {
	if err := w.relay.Reopen(); err != nil {
		w.checker.recordHarnessError("a worker's address could not be listened on again", err)
	}
}

// isDown reports whether the worker has crashed and is not back yet.
func (w *Worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down()
}

// down reports whether the worker has crashed and is not back yet; w.mu is held.
func (w *Worker) down() bool { return time.Now().Before(w.backAt) }

// unreachable reports whether the worker neither answers nor reports; w.mu is held.
func (w *Worker) unreachable() bool { return w.silent || w.down() }

// shrinkGrace is how long after a room has shrunk a start may still take the worker over it: the platform's bound of being in
// touch and one report.
const shrinkGrace = 3*time.Second + heartbeatInterval

// SetCapacity shrinks the worker's room, or lets it grow; what runs goes on.
func (w *Worker) SetCapacity(size job.Size) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.previousCapacity, w.previousUntil = w.capacity, time.Now().Add(shrinkGrace)
	w.capacity = size
}

// allows reports whether a use of the room is no fault of who started it; w.mu is held.
func (w *Worker) allows(used job.Size) bool {
	return used.Fits(w.capacity) || time.Now().Before(w.previousUntil) && used.Fits(w.previousCapacity)
}

// SetSilent makes the worker answer and report nothing; what it runs goes on.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// SetOrderDelay makes the worker do every other order that much later, without an answer; 0 ends that.
func (w *Worker) SetOrderDelay(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderDelay = delay
}

// Run reports to the agent and ends what is due until stop is closed.
func (w *Worker) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var reported time.Time
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		w.advance()
		due := !w.unreachable() && time.Since(reported) >= heartbeatInterval
		w.mu.Unlock()
		if due {
			reported = time.Now()
			go w.heartbeat()
		}
	}
}

// advance ends what is done or over; w.mu is held.
func (w *Worker) advance() {
	now, inc := time.Now(), w.incarnation
	lapsed := !inc.leaseEnd.IsZero() && now.After(inc.leaseEnd)
	if lapsed {
		for i := range inc.endedRuns {
			inc.endedRuns[i].lapsed = true
		}
	}
	for id, r := range inc.running {
		r.remaining -= now.Sub(r.advancedAt) * time.Duration(r.percent) / 100
		r.advancedAt = now
		switch {
		case lapsed:
			w.endRun(id, job.EndLapsed)
		case r.remaining <= 0 && !r.step.LongRunning:
			w.endRun(id, job.EndDone)
		}
	}
}

// endRun takes a run off and keeps its endRun until that is taken note of; w.mu is held.
func (w *Worker) endRun(id job.TaskID, kind job.End) {
	inc := w.incarnation
	r := inc.running[id]
	delete(inc.running, id)
	inc.lastEnd++
	inc.endedRuns = append(inc.endedRuns, endedRun{number: inc.lastEnd, task: id, run: r.number, kind: kind})
	w.checker.recordRunEnd(inc.key, id, kind == job.EndDone)
}
