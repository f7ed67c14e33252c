package ledger

import (
	"sync"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// tombstoneLimit is the minimum number of ended tasks that are remembered.
const tombstoneLimit = 4096

// Ledger records the allocations of one VM. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	capacity   resource.Vector
	used       resource.Vector
	runs       map[task.ID]allocation
	ended      map[task.ID]task.Incarnation
	olderEnded map[task.ID]task.Incarnation
}

type allocation struct {
	incarnation task.Incarnation
	size        resource.Vector
}

// New returns the ledger of an empty VM with a capacity.
func New(capacity resource.Vector) *Ledger {
	return &Ledger{
		capacity:   capacity,
		runs:       make(map[task.ID]allocation),
		ended:      make(map[task.ID]task.Incarnation),
		olderEnded: make(map[task.ID]task.Incarnation),
	}
}

// Admit allocates size to a run; admitting the run again changes nothing.
//
// The error is Stale for a run that has ended or is older than a known one, and DoesNotFit without free capacity or
// while an earlier incarnation of the task still runs.
func (l *Ledger) Admit(run task.Run, size resource.Vector) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run.Incarnation() <= l.lastEnded(run.ID()) {
		return fault.New(fault.Stale, "run %d of task %s has already ended on this VM", run.Incarnation(), run.ID())
	}
	if current, ok := l.runs[run.ID()]; ok {
		return checkCurrent(run, current)
	}
	if total := l.used.Add(size); !total.Fits(l.capacity) {
		return fault.New(fault.DoesNotFit, "task %s requests %s, but only %s is free", run.ID(), size, l.capacity.Sub(l.used))
	}
	l.runs[run.ID()] = allocation{incarnation: run.Incarnation(), size: size}
	l.used = l.used.Add(size)
	return nil
}

func checkCurrent(run task.Run, current allocation) error {
	switch {
	case current.incarnation == run.Incarnation():
		return nil
	case current.incarnation > run.Incarnation():
		return fault.New(fault.Stale, "task %s runs as incarnation %d, later than %d", run.ID(), current.incarnation, run.Incarnation())
	default:
		return fault.New(fault.DoesNotFit, "task %s still runs as incarnation %d", run.ID(), current.incarnation)
	}
}

// Adopt records a run that the worker already has, even beyond the free capacity.
func (l *Ledger) Adopt(run task.Run, size resource.Vector) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current, ok := l.runs[run.ID()]; ok {
		l.used = l.used.Sub(current.size)
	}
	l.runs[run.ID()] = allocation{incarnation: run.Incarnation(), size: size}
	l.used = l.used.Add(size)
}

// End frees the allocation of a run and remembers that it has ended.
func (l *Ledger) End(run task.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current, ok := l.runs[run.ID()]; ok && current.incarnation == run.Incarnation() {
		l.used = l.used.Sub(current.size)
		delete(l.runs, run.ID())
	}
	if run.Incarnation() <= l.lastEnded(run.ID()) {
		return
	}
	if len(l.ended) >= tombstoneLimit {
		l.olderEnded, l.ended = l.ended, make(map[task.ID]task.Incarnation)
	}
	l.ended[run.ID()] = run.Incarnation()
}

func (l *Ledger) lastEnded(id task.ID) task.Incarnation {
	return max(l.ended[id], l.olderEnded[id])
}

// HasEnded reports whether the run, or a later one of its task, has ended on this VM.
func (l *Ledger) HasEnded(run task.Run) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return run.Incarnation() <= l.lastEnded(run.ID())
}
