package ledger

import (
	"sync"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// tombstoneLimit is how many ended tasks are remembered at the least.
const tombstoneLimit = 4096

// Ledger is the book of one VM; it is safe for use by several goroutines.
type Ledger struct {
	mu       sync.Mutex
	capacity resource.Vector
	used     resource.Vector
	runs     map[task.ID]entry
	ended    map[task.ID]task.Incarnation
	older    map[task.ID]task.Incarnation
}

type entry struct {
	incarnation task.Incarnation
	size        resource.Vector
}

// New returns the ledger of an empty VM with a capacity.
func New(capacity resource.Vector) *Ledger {
	return &Ledger{
		capacity: capacity,
		runs:     make(map[task.ID]entry),
		ended:    make(map[task.ID]task.Incarnation),
		older:    make(map[task.ID]task.Incarnation),
	}
}

// Admit commits the VM to a run; admitting it again changes nothing.
//
// A run that has ended or is older than one seen is Stale, one without room, or whose
// task still runs under an earlier incarnation, is DoesNotFit.
func (l *Ledger) Admit(run task.Run, size resource.Vector) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run.Incarnation() <= l.lastEnded(run.ID()) {
		return fault.New(fault.Stale, "run %d of task %s has ended here", run.Incarnation(), run.ID())
	}
	if held, ok := l.runs[run.ID()]; ok {
		return checkHeld(run, held)
	}
	if wanted := l.used.Add(size); !wanted.Fits(l.capacity) {
		return fault.New(fault.DoesNotFit, "task %s takes %s, and %s is free", run.ID(), size, l.capacity.Sub(l.used))
	}
	l.runs[run.ID()] = entry{incarnation: run.Incarnation(), size: size}
	l.used = l.used.Add(size)
	return nil
}

func checkHeld(run task.Run, held entry) error {
	switch {
	case held.incarnation == run.Incarnation():
		return nil
	case held.incarnation > run.Incarnation():
		return fault.New(fault.Stale, "task %s runs as %d, later than %d", run.ID(), held.incarnation, run.Incarnation())
	default:
		return fault.New(fault.DoesNotFit, "task %s still runs as %d", run.ID(), held.incarnation)
	}
}

// Adopt takes a run that the worker runs already into the book, whatever is free.
func (l *Ledger) Adopt(run task.Run, size resource.Vector) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held, ok := l.runs[run.ID()]; ok {
		l.used = l.used.Sub(held.size)
	}
	l.runs[run.ID()] = entry{incarnation: run.Incarnation(), size: size}
	l.used = l.used.Add(size)
}

// End frees what a run took and remembers that it has ended.
func (l *Ledger) End(run task.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held, ok := l.runs[run.ID()]; ok && held.incarnation == run.Incarnation() {
		l.used = l.used.Sub(held.size)
		delete(l.runs, run.ID())
	}
	if run.Incarnation() <= l.lastEnded(run.ID()) {
		return
	}
	if len(l.ended) >= tombstoneLimit {
		l.older, l.ended = l.ended, make(map[task.ID]task.Incarnation)
	}
	l.ended[run.ID()] = run.Incarnation()
}

func (l *Ledger) lastEnded(id task.ID) task.Incarnation {
	return max(l.ended[id], l.older[id])
}

// HasEnded reports whether the run, or a later one of its task, has ended here.
func (l *Ledger) HasEnded(run task.Run) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return run.Incarnation() <= l.lastEnded(run.ID())
}
