package crash

import "time"

const (
	// mostAlike is how many runs of a task may be lost alike on end: the platform allows five starts of work that crashes its workers.
	mostAlike = 5
	// leastOver is how many of their workers must surely have crashed: the platform lets no task be given up for fewer.
	leastOver = 2
	// mostLost bounds all losses on end, alike or not, whether any of the workers surely crashed or not: a task that takes the VM along
	// for good stays bounded by it, and cuts do not strike one task that often within its starts.
	mostLost = 8
	// clearlyLonger is by how much lives differ that are not alike: work that crashes its workers takes about the same time each time.
	clearlyLonger = 2
	// longEnough forgives all losses, whatever was lost before: work that takes longer to crash its workers is bounded by time, at
	// two starts a minute.
	longEnough = 30 * time.Second
)

// Loss is a run that was lost with its worker.
type Loss struct {
	over, told, shared bool
	lived              time.Duration
}

// ReportedLoss returns the loss of a run that lived for a time, as the agent beside its worker tells; a shared one struck many workers
// at one moment.
func ReportedLoss(lived time.Duration, shared bool) Loss {
	return Loss{over: true, told: true, shared: shared, lived: lived}
}

// UnreportedLoss returns the loss of a run with a life of a worker that is surely over, though nobody tells of it.
func UnreportedLoss() Loss { return Loss{over: true} }

// UnreachableLoss returns the loss of a run with a worker that was lost sight of; it may have crashed or may run on.
func UnreachableLoss() Loss { return Loss{} }

// Crashed reports whether the worker surely crashed.
func (l Loss) Crashed() bool { return l.over }

// Losses are the runs of a task that were lost with their workers on end. They need no witness: whoever is held responsible, if
// anybody tells at all, a task is not started for ever where none of its runs is done or lives for long.
type Losses struct {
	// all counts them, over those with a worker that surely crashed.
	all, over int
	// alike counts those that lived about as long as the longest, blind those of which that is not known.
	alike, blind int
	longest      time.Duration
}

// NewLosses returns losses as they were counted.
func NewLosses(all, over, alike, blind int, longest time.Duration) Losses {
	return Losses{all: all, over: over, alike: alike, blind: blind, longest: longest}
}

// Total returns how many runs were lost.
func (l Losses) Total() int { return l.all }

// Crashed returns with how many of them a worker surely crashed.
func (l Losses) Crashed() int { return l.over }

// Similar returns how many lived about as long as the longest.
func (l Losses) Similar() int { return l.alike }

// UnknownLifetime returns of how many it is not known how long they lived.
func (l Losses) UnknownLifetime() int { return l.blind }

// LongestLifetime returns how long the longest of the others lived.
func (l Losses) LongestLifetime() time.Duration { return l.longest }

// Add returns the losses after one more.
func (l Losses) Add(one Loss) Losses {
	l.all++
	if one.over {
		l.over++
	}
	if !one.told {
		l.blind++
		return l
	}
	lived, longest := max(one.lived, StartupTime), max(l.longest, StartupTime)
	switch {
	case one.shared, lived*clearlyLonger < longest:
	case lived > clearlyLonger*longest:
		l.alike = 1
	default:
		l.alike++
	}
	l.longest = max(l.longest, one.lived)
	return l
}

// Resolve returns the losses once it is known whether a worker that was lost sight of has crashed.
func (l Losses) Resolve(crashed bool) Losses {
	if crashed {
		l.over++
		return l
	}
	l.all, l.blind = l.all-1, l.blind-1
	return l
}

// Exhausted reports whether the task is not to be started any more.
func (l Losses) Exhausted() bool {
	return l.over >= leastOver && l.alike+l.blind >= mostAlike || l.all >= mostLost
}

// forgivenAfter returns how long a run must be seen to live for the losses to be forgiven.
func (l Losses) forgivenAfter() time.Duration {
	if l.blind > 0 {
		return longEnough
	}
	return min(max(StableAge, clearlyLonger*l.longest), longEnough)
}
