package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/proving/relay"
)

// pollInterval is how often a worker checks for runs that have ended.
const pollInterval = 10 * time.Millisecond

// Worker is a stand-in for a worker of the platform. It accepts starts beyond its capacity, so that the checker can record
// them.
type Worker struct {
	name    string
	checker *Checker
	agent   string
	hall    string

	mu sync.Mutex
	// capacity is the reported capacity. previousCapacity is that before the last change and still permits starts until
	// previousUntil.
	capacity         job.Size
	previousCapacity job.Size
	previousUntil    time.Time
	incarnation      *incarnation
	// silent suppresses all answers and reports; orderDelay delays orders for odd run numbers, which get no answer.
	silent       bool
	orderDelay   time.Duration
	incarnations int
	// nextIdentity returns the identity of the next incarnation.
	nextIdentity IdentityFunc
	// backAt is when the worker answers and reports again after a crash by a task; until then its relay refuses connections.
	backAt time.Time
	relay  *relay.Relay
	// failing makes the worker fail what it starts.
	failing bool
	// onCrash is called when a task crashes the worker.
	onCrash func()
	// holds reports whether the worker holds calls open, at least until heldUntil; held are these calls.
	holds     bool
	heldUntil time.Time
	held      []*heldCall
	// delays draws how long starts and stops take; nil means that they take no time.
	delays *rand.Rand
	// maxLease is the longest lease that the worker accepts.
	maxLease time.Duration
	// logf logs the start and the end of each run.
	logf func(format string, args ...any)
}

// NewWorker returns a worker that reports to an agent once Run is called.
func NewWorker(name, hall, agent string, capacity job.Size, checker *Checker) *Worker {
	w := &Worker{
		name: name, checker: checker, agent: agent, capacity: capacity, hall: hall, onCrash: func() {}, nextIdentity: FreshID, maxLease: maxLease,
		logf: func(string, ...any) {},
	}
	w.restart()
	return w
}

// Crash ends all runs and starts a new incarnation.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart()
}

// restart starts a new incarnation; w.mu is held once the worker runs.
func (w *Worker) restart() {
	if w.incarnation != nil {
		w.logf("crash of %s with %d runs", w.incarnation.key, len(w.incarnation.running))
		for id, r := range w.incarnation.running {
			w.checker.recordRunEnd(w.incarnation.key, id, false)
			w.checker.recordLostRun(id)
			if r.step.Gang {
				w.checker.recordMemberEnd(id, r.number)
			}
		}
	}
	w.incarnations++
	w.incarnation = newIncarnation(w.nextIdentity(w.name, w.incarnations), w.maxLease)
	if down := time.Until(w.backAt); down > 0 {
		w.incarnation.delayStart(down)
	}
}

// SetIdentities sets the identities of later incarnations and starts the first of these.
func (w *Worker) SetIdentities(next IdentityFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextIdentity = next
	w.restart()
}

// setMaxLease sets the longest lease that the worker accepts, and starts an incarnation with it.
func (w *Worker) setMaxLease(longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxLease = longest
	w.restart()
}

const (
	// defaultCrashDelay is the time from the start of a crashing task to the crash if the job's text sets none;
	// crashDowntime is how long the worker is down after it.
	defaultCrashDelay = 10 * time.Millisecond
	crashDowntime     = 2500 * time.Millisecond
)

// OnCrash sets a function that is called whenever a task crashes the worker.
func (w *Worker) OnCrash(callback func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCrash = callback
}

// scheduleCrash makes a started task crash its incarnation of the worker after a delay.
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

// reopen accepts connections again after a crash.
func (w *Worker) reopen() {
	if err := w.relay.Reopen(); err != nil {
		w.checker.recordHarnessError("cannot listen on a worker's address again", err)
	}
}

// isDown reports whether the worker has crashed and not returned yet.
func (w *Worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down()
}

// down reports whether the worker has crashed and not returned yet; w.mu is held.
func (w *Worker) down() bool { return time.Now().Before(w.backAt) }

// unreachable reports whether the worker neither answers nor reports; w.mu is held.
func (w *Worker) unreachable() bool { return w.silent || w.holds || w.down() }

// shrinkGrace is how long after a change of capacity a start may still use the previous one: the platform's bound
// of 3 s for connected processes and one heartbeat.
const shrinkGrace = 3*time.Second + heartbeatInterval

// SetCapacity changes the worker's capacity; its runs continue.
func (w *Worker) SetCapacity(size job.Size) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.previousCapacity, w.previousUntil = w.capacity, time.Now().Add(shrinkGrace)
	w.capacity = size
}

// allows reports whether the used capacity is within the current capacity, or within the previous one during shrinkGrace;
// w.mu is held.
func (w *Worker) allows(used job.Size) bool {
	return used.Fits(w.capacity) || time.Now().Before(w.previousUntil) && used.Fits(w.previousCapacity)
}

// SetSilent makes the worker answer and report nothing; its runs continue.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// runs returns how many runs are in progress on the worker.
func (w *Worker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.incarnation.running)
}

// runsOf returns how many runs of a job are in progress on the worker.
func (w *Worker) runsOf(id job.ID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for task := range w.incarnation.running {
		if task.Job == id {
			count++
		}
	}
	return count
}

// SetFailing makes the worker fail what it starts, or ends this.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// SetOrderDelay makes the worker execute orders for odd run numbers late and without an answer; 0 ends this.
func (w *Worker) SetOrderDelay(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderDelay = delay
}

// Run sends heartbeats and ends runs that are done or whose lease has expired, until stop is closed.
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

// advance advances the runs and ends those that are done or whose lease has expired; w.mu is held.
func (w *Worker) advance() {
	now, inc := time.Now(), w.incarnation
	lapsed := !inc.leaseEnd.IsZero() && now.After(inc.leaseEnd)
	if lapsed {
		for i := range inc.endedRuns {
			inc.endedRuns[i].lapsed = true
		}
	}
	for id, r := range inc.running {
		works := r.stopAt.IsZero()
		if r.step.Gang {
			var end job.End
			var ends bool
			var complete bool
			if end, ends, complete = w.checker.gangOutcome(id, r); ends && !lapsed {
				w.endRun(id, end)
				continue
			}
			works = works && complete
		}
		if works {
			r.remaining -= now.Sub(r.advancedAt) * time.Duration(r.percent) / 100
		}
		r.advancedAt = now
		if end, ends := r.outcome(now, lapsed); ends {
			w.endRun(id, end)
		}
	}
}

// endRun ends a run and keeps its end until it is acknowledged; w.mu is held.
func (w *Worker) endRun(id job.TaskID, kind job.End) {
	inc := w.incarnation
	r := inc.running[id]
	delete(inc.running, id)
	inc.lastEnd++
	inc.endedRuns = append(inc.endedRuns, endedRun{number: inc.lastEnd, task: id, run: r.number, kind: kind})
	w.logf("end %s run %d on %s: %s", id, r.number, inc.key, kind)
	w.checker.recordRunEnd(inc.key, id, kind == job.EndDone)
	if kind == job.EndFailed {
		w.checker.recordFailedRun(id, r.number)
	}
	if r.step.Gang && kind != job.EndDone {
		w.checker.recordMemberEnd(id, r.number)
	}
}
