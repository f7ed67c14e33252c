package queueing

import (
	"cmp"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/resource"
)

// StarveAfter is how long a task that fits nowhere waits before room is kept free for it.
const StarveAfter = 2 * time.Minute

// Team is what a team runs and may run in the cell.
type Team struct {
	used   resource.Vector
	quota  resource.Vector
	weight int
}

// NewTeam returns a team with what it uses, its quota, in which 0 is no limit, and its weight.
func NewTeam(used, quota resource.Vector, weight int) *Team {
	return &Team{used: used, quota: quota, weight: max(weight, 1)}
}

// Allocate adds to what the team uses.
func (t *Team) Allocate(size resource.Vector) { t.used = t.used.Add(size) }

// Allows reports whether the team may take size within its quota.
func (t *Team) Allows(size resource.Vector) bool {
	wanted := t.used.Add(size)
	return within(wanted.Processors(), t.quota.Processors()) &&
		within(wanted.Memory(), t.quota.Memory()) &&
		within(wanted.Accelerators(), t.quota.Accelerators())
}

func within(wanted, quota int64) bool { return quota == 0 || wanted <= quota }

// share is the weighted dominant share of the team.
func (t *Team) share(capacity resource.Vector) float64 {
	return t.used.DominantShare(capacity) / float64(t.weight)
}

// Entry is one kind of waiting work: the tasks of one job.
type Entry struct {
	team      *Team
	urgent    bool
	weight    int
	submitted time.Time
	due       time.Time
	work      time.Duration
}

// NewEntry returns waiting work of a team; work is how long its tasks are still expected to take one after the other.
func NewEntry(team *Team, urgent bool, weight int, submitted, due time.Time, work time.Duration) Entry {
	return Entry{team, urgent, max(weight, 1), submitted, due, work}
}

// Team returns the team of the work.
func (e *Entry) Team() *Team { return e.team }

// Starved reports whether the work has waited so long that room is kept free for it.
func (e *Entry) Starved(now time.Time) bool {
	return e.urgent || now.Sub(e.submitted) > StarveAfter
}

// late reports whether the work misses its deadline unless it starts about now.
func (e *Entry) late(now time.Time) bool {
	return !e.due.IsZero() && now.Add(e.work+e.work/2).After(e.due)
}

// Less reports whether a goes before b: urgent work, then work about to be late, then the team with the least
// weighted dominant share, then the larger weight, then the older.
func Less(a, b *Entry, now time.Time, capacity resource.Vector) bool {
	return compare(a, b, now, capacity) < 0
}

func compare(a, b *Entry, now time.Time, capacity resource.Vector) int {
	if order := first(a.urgent, b.urgent); order != 0 {
		return order
	}
	if order := first(a.late(now), b.late(now)); order != 0 {
		return order
	}
	if a.late(now) {
		if order := a.due.Compare(b.due); order != 0 {
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

func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// Next returns the place of the work that goes first among those not yet passed over, or -1.
func Next[T any](items []T, entry func(*T) *Entry, passed func(*T) bool, now time.Time, capacity resource.Vector) int {
	best := -1
	for i := range items {
		if passed(&items[i]) {
			continue
		}
		if best < 0 || Less(entry(&items[i]), entry(&items[best]), now, capacity) {
			best = i
		}
	}
	return best
}
