package crash

import "time"

const (
	// maxSimilar bounds the consecutive losses of a task with similar lifetimes: the platform allows five starts of
	// work that crashes its workers.
	maxSimilar = 5
	// minCrashed is how many of the losses must have a confirmed worker crash: the platform allows no task to be given
	// up for fewer.
	minCrashed = 2
	// maxLosses bounds all consecutive losses, similar or not, with confirmed crashes or not: it bounds a task that
	// takes the whole VM down permanently, and network partitions do not hit that many runs of one task in a row.
	maxLosses = 8
	// distinctFactor is the factor by which lifetimes differ that are not similar: work that crashes its workers takes
	// about the same time each time.
	distinctFactor = 2
	// maxClearedAfter is the age that clears losses of any lifetime: work that takes longer to crash its workers is
	// bounded by time, at two starts a minute.
	maxClearedAfter = 30 * time.Second
)

// Loss is a run that was lost with its worker.
type Loss struct {
	crashed, reported, simultaneous bool
	lifetime                        time.Duration
}

// ReportedLoss returns the loss of a run with a lifetime reported by the agent on its worker; simultaneous is set if
// many workers crashed at the same time.
func ReportedLoss(lifetime time.Duration, simultaneous bool) Loss {
	return Loss{crashed: true, reported: true, simultaneous: simultaneous, lifetime: lifetime}
}

// UnreportedLoss returns the loss of a run with a worker incarnation that has ended without a report.
func UnreportedLoss() Loss { return Loss{crashed: true} }

// UnreachableLoss returns the loss of a run with an unreachable worker; the worker may have crashed or still run.
func UnreachableLoss() Loss { return Loss{} }

// Crashed reports whether the worker is confirmed to have crashed.
func (l Loss) Crashed() bool { return l.crashed }

// Losses are the consecutive runs of a task that were lost with their workers. They do not depend on attribution or on
// crash reports, so that a task whose runs neither complete nor reach a stable age is not started without bound.
type Losses struct {
	// total counts all losses, crashed those with a confirmed crash of the worker.
	total, crashed int
	// similar counts the losses with a lifetime similar to the longest, unknownLifetime those without a known
	// lifetime.
	similar, unknownLifetime int
	longestLifetime          time.Duration
}

// NewLosses returns losses with stored counts.
func NewLosses(total, crashed, similar, unknownLifetime int, longestLifetime time.Duration) Losses {
	return Losses{total: total, crashed: crashed, similar: similar, unknownLifetime: unknownLifetime, longestLifetime: longestLifetime}
}

// Total returns the number of lost runs.
func (l Losses) Total() int { return l.total }

// Crashed returns the number of lost runs whose worker is confirmed to have crashed.
func (l Losses) Crashed() int { return l.crashed }

// Similar returns the number of lost runs with a lifetime similar to the longest.
func (l Losses) Similar() int { return l.similar }

// UnknownLifetime returns the number of lost runs without a known lifetime.
func (l Losses) UnknownLifetime() int { return l.unknownLifetime }

// LongestLifetime returns the longest known lifetime.
func (l Losses) LongestLifetime() time.Duration { return l.longestLifetime }

// Add returns the losses with one more.
func (l Losses) Add(loss Loss) Losses {
	l.total++
	if loss.crashed {
		l.crashed++
	}
	if !loss.reported {
		l.unknownLifetime++
		return l
	}
	lifetime, longestLifetime := max(loss.lifetime, StartupTime), max(l.longestLifetime, StartupTime)
	switch {
	case loss.simultaneous, lifetime*distinctFactor < longestLifetime:
	case lifetime > distinctFactor*longestLifetime:
		l.similar = 1
	default:
		l.similar++
	}
	l.longestLifetime = max(l.longestLifetime, loss.lifetime)
	return l
}

// Resolve returns the losses once it is known whether an unreachable worker has crashed.
func (l Losses) Resolve(crashed bool) Losses {
	if crashed {
		l.crashed++
		return l
	}
	l.total, l.unknownLifetime = l.total-1, l.unknownLifetime-1
	return l
}

// Exhausted reports whether the task must not be started again.
func (l Losses) Exhausted() bool {
	return l.crashed >= minCrashed && l.similar+l.unknownLifetime >= maxSimilar || l.total >= maxLosses
}

// clearedAfter returns the reported age of a run at which the losses are cleared.
func (l Losses) clearedAfter() time.Duration {
	if l.unknownLifetime > 0 {
		return maxClearedAfter
	}
	return min(max(StableAge, distinctFactor*l.longestLifetime), maxClearedAfter)
}
