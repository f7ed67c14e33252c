package fleet

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/proving/relay"
)

// wake is how often a worker looks for what has ended.
const wake = 10 * time.Millisecond

// Worker stands in for a worker of the platform. It does not guard its room, so that a start beyond it shows.
type Worker struct {
	name  string
	books *Books
	agent string
	hall  string

	mu sync.Mutex
	// room is what the worker says it has, larger what it had before its room shrank, which counts until counts.
	room   job.Size
	larger job.Size
	counts time.Time
	life   *life
	// silent makes it answer nothing, late does orders without an answer some time later.
	silent bool
	late   time.Duration
	lives  int
	// rebirth says how the next incarnation differs from the one before.
	rebirth Rebirth
	// back is when the worker answers and reports again after a task crashed it; meanwhile its door is shut.
	back time.Time
	door *relay.Relay
	// crashed is called when a task crashes the worker.
	crashed func()
}

// NewWorker returns a worker that reports to an agent; Run lets it live.
func NewWorker(name, hall, agent string, room job.Size, books *Books) *Worker {
	w := &Worker{name: name, books: books, agent: agent, room: room, hall: hall, crashed: func() {}, rebirth: Renamed}
	w.revive()
	return w
}

// Crash kills all that runs and begins a new life.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revive()
}

// revive begins a new life; w.mu is held once the worker runs.
func (w *Worker) revive() {
	if w.life != nil {
		for id := range w.life.running {
			w.books.ended(w.life.key, id, false)
			w.books.lost(id)
		}
	}
	w.lives++
	w.life = newLife(w.rebirth(w.name, w.lives))
	if down := time.Until(w.back); down > 0 {
		w.life.delay(down)
	}
}

// SetRebirth sets how later incarnations of the worker differ from the ones before, and begins the first of them.
func (w *Worker) SetRebirth(rebirth Rebirth) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rebirth = rebirth
	w.revive()
}

const (
	// crashAfter is how long after its start a task that crashes its worker does so where its text says nothing else, downFor how
	// long the worker is away then.
	crashAfter = 10 * time.Millisecond
	downFor    = 2500 * time.Millisecond
)

// OnCrash has something done whenever a task crashes the worker.
func (w *Worker) OnCrash(crashed func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = crashed
}

// crashSoon lets a task that has just been started crash this life of the worker after a time.
func (w *Worker) crashSoon(l *life, id job.TaskID, after time.Duration) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != l {
			return
		}
		w.books.crashed(id)
		w.back = time.Now().Add(downFor)
		w.revive()
		w.crashed()
		w.door.Refuse()
		time.AfterFunc(downFor, w.open)
	})
}

// open lets connections in again after a crash.
func (w *Worker) open() {
	if err := w.door.Admit(); err != nil {
		w.books.wrong("a worker's address could not be listened on again", err)
	}
}

// isDown reports whether the worker has crashed and is not back yet.
func (w *Worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down()
}

// down reports whether the worker has crashed and is not back yet; w.mu is held.
func (w *Worker) down() bool { return time.Now().Before(w.back) }

// away reports whether the worker neither answers nor reports; w.mu is held.
func (w *Worker) away() bool { return w.silent || w.down() }

// shrunkCounts is how long after a room has shrunk a start may still take the worker over it: the platform's bound of being in
// touch and one report.
const shrunkCounts = 3*time.Second + heartbeatEvery

// SetRoom shrinks the worker's room, or lets it grow; what runs goes on.
func (w *Worker) SetRoom(size job.Size) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.larger, w.counts = w.room, time.Now().Add(shrunkCounts)
	w.room = size
}

// bears reports whether a use of the room is no fault of who started it; w.mu is held.
func (w *Worker) bears(used job.Size) bool {
	return used.Fits(w.room) || time.Now().Before(w.counts) && used.Fits(w.larger)
}

// SetSilent makes the worker answer and report nothing; what it runs goes on.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// SetLate makes the worker do every other order that much later, without an answer; 0 ends that.
func (w *Worker) SetLate(late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = late
}

// Run reports to the agent and ends what is due until stop is closed.
func (w *Worker) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(wake)
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
		due := !w.away() && time.Since(reported) >= heartbeatEvery
		w.mu.Unlock()
		if due {
			reported = time.Now()
			go w.heartbeat()
		}
	}
}

// advance ends what is done or over; w.mu is held.
func (w *Worker) advance() {
	now, l := time.Now(), w.life
	over := !l.held.IsZero() && now.After(l.held)
	if over {
		for i := range l.ends {
			l.ends[i].lapsed = true
		}
	}
	for id, r := range l.running {
		r.left -= now.Sub(r.looked) * time.Duration(r.percent) / 100
		r.looked = now
		switch {
		case over:
			w.end(id, job.EndLapsed)
		case r.left <= 0 && !r.step.LongRunning:
			w.end(id, job.EndDone)
		}
	}
}

// end takes a run off and keeps its end until that is taken note of; w.mu is held.
func (w *Worker) end(id job.TaskID, how job.End) {
	l := w.life
	r := l.running[id]
	delete(l.running, id)
	l.next++
	l.ends = append(l.ends, ending{number: l.next, task: id, run: r.number, how: how})
	w.books.ended(l.key, id, how == job.EndDone)
}
