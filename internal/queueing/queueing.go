package queueing

import (
	"cmp"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/resource"
)

// StarveAfter is how long an unplaceable task that is not urgent waits before a worker is reserved for it.
const StarveAfter = 2 * time.Minute

// Team is the usage, quota and weight of a team in the cell.
type Team struct {
	used   resource.Vector
	quota  resource.Vector
	weight int
}

// NewTeam returns a team with its usage, its quota, in which 0 is unlimited, and its weight.
func NewTeam(used, quota resource.Vector, weight int) *Team {
	return &Team{used: used, quota: quota, weight: max(weight, 1)}
}

// Allocate adds size to the usage of the team.
func (t *Team) Allocate(size resource.Vector) { t.used = t.used.Add(size) }

// Allows reports whether size fits within the team's quota.
func (t *Team) Allows(size resource.Vector) bool {
	wanted := t.used.Add(size)
	return fitsQuota(wanted.Processors(), t.quota.Processors()) &&
		fitsQuota(wanted.Memory(), t.quota.Memory()) &&
		fitsQuota(wanted.Accelerators(), t.quota.Accelerators())
}

func fitsQuota(wanted, quota int64) bool { return quota == 0 || wanted <= quota }

// share returns the weighted dominant share of the team.
func (t *Team) share(capacity resource.Vector) float64 {
	return t.used.DominantShare(capacity) / float64(t.weight)
}

// Entry is the waiting tasks of one job.
type Entry struct {
	team      *Team
	urgent    bool
	weight    int
	submitted time.Time
	deadline  time.Time
	work      time.Duration
}

// NewEntry returns waiting work of a team; work is the expected time of its tasks if run one after the other.
func NewEntry(team *Team, urgent bool, weight int, submitted, deadline time.Time, work time.Duration) Entry {
	return Entry{team, urgent, max(weight, 1), submitted, deadline, work}
}

// Team returns the team of the work.
func (e *Entry) Team() *Team { return e.team }

// Starved reports whether a worker is reserved for the work: urgent work at once, other work after StarveAfter.
func (e *Entry) Starved(now time.Time) bool {
	return e.urgent || now.Sub(e.submitted) > StarveAfter
}

// isLate reports whether the work misses its deadline unless it starts about now.
func (e *Entry) isLate(now time.Time) bool {
	return !e.deadline.IsZero() && now.Add(e.work+e.work/2).After(e.deadline)
}

// Less reports whether a goes before b: urgent work, then work that is about to be late, then the team with the lowest
// weighted dominant share, then the larger weight, then the older.
func Less(a, b *Entry, now time.Time, capacity resource.Vector) bool {
	return compare(a, b, now, capacity) < 0
}

func compare(a, b *Entry, now time.Time, capacity resource.Vector) int {
	if order := trueFirst(a.urgent, b.urgent); order != 0 {
		return order
	}
	if order := trueFirst(a.isLate(now), b.isLate(now)); order != 0 {
		return order
	}
	if a.isLate(now) {
		if order := a.deadline.Compare(b.deadline); order != 0 {
			return order
		}
	}
	if order := cmp.Compare(a.team.share(capacity), b.team.share(capacity)); order != 0 {
		return order
	}
	if order := cmp.Compare(b.weight, a.weight); order != 0 {
		return order
	}
	return a.submitted.Compare(b.submitted)
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// Next returns the index of the first entry in the order of Less that is not skipped, or -1.
func Next[T any](items []T, entry func(*T) *Entry, skipped func(*T) bool, now time.Time, capacity resource.Vector) int {
	best := -1
	for i := range items {
		if skipped(&items[i]) {
			continue
		}
		if best < 0 || Less(entry(&items[i]), entry(&items[best]), now, capacity) {
			best = i
		}
	}
	return best
}
