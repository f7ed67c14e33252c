package runner

import (
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// reservationOf returns what a run takes of its worker's room.
func reservationOf(p link.Profile) job.Size {
	step := job.Step{Size: job.Size{CPU: p.CPU, Memory: p.Memory, GPU: p.GPU}, BestEffort: p.BestEffort}
	return step.Reservation()
}

// reserved returns the room of all that the worker may have: what runs, what is being stopped, and what is on its way there.
func (w *workerState) reserved() job.Size {
	var taken job.Size
	for run := range w.possibleRuns {
		taken = taken.Plus(reservationOf(w.profiles[run]))
	}
	for run, o := range w.orders {
		if w.possibleRuns[run] == nil && o.start != nil && !o.final {
			taken = taken.Plus(reservationOf(o.start.Profile))
		}
	}
	return taken
}

// fits reports whether a start leaves the worker within the room that it says it has now. The lead plans by what it was told
// last; meanwhile the room may have shrunk, and a worker that does not guard it would be brought over it.
func (w *workerState) fits(run host.Run, start *link.Start) bool {
	if w.possibleRuns[run] != nil {
		return true
	}
	asked := reservationOf(start.Profile)
	return asked == job.Size{} || w.reserved().Plus(asked).Fits(w.report.Capacity)
}
