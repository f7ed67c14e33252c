package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// lateStart is a start that got no answer, by the id of the worker that it was sent to.
type lateStart struct {
	worker string
	run    host.Run
}

// lateStarts are the starts that may still be carried out, with when each was sent last. A later incarnation under the same id would do so too.
type lateStarts map[lateStart]time.Time

// add records a start that got no answer.
func (l lateStarts) add(id incarnation.ID, run host.Run, now time.Time) {
	l[lateStart{worker: id.Worker(), run: run}] = now
	for s, sent := range l {
		if now.Sub(sent) > host.LateFor {
			delete(l, s)
		}
	}
}

// has reports whether a start of a run may still be carried out.
func (l lateStarts) has(id incarnation.ID, run host.Run, now time.Time) bool {
	sent, known := l[lateStart{worker: id.Worker(), run: run}]
	return known && now.Sub(sent) <= host.LateFor
}

// starts returns the runs that an incarnation may still be given by late starts, in order.
func (l lateStarts) starts(id incarnation.ID, now time.Time) []host.Run {
	var runs []host.Run
	for s := range l {
		if l.has(id, s.run, now) && s.worker == id.Worker() {
			runs = append(runs, s.run)
		}
	}
	slices.SortFunc(runs, func(a, b host.Run) int { return strings.Compare(a.Task.String(), b.Task.String()) })
	return runs
}
