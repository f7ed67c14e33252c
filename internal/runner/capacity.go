package runner

import (
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// roomOf returns what a run takes of its worker's room.
func roomOf(p link.Profile) job.Size {
	step := job.Step{Size: job.Size{CPU: p.CPU, Memory: p.Memory, GPU: p.GPU}, BestEffort: p.BestEffort}
	return step.Reservation()
}

// taken returns the room of all that the worker may have: what runs, what is being stopped, and what is on its way there.
func (w *workerState) taken() job.Size {
	var taken job.Size
	for run := range w.begun {
		taken = taken.Plus(roomOf(w.profiles[run]))
	}
	for run, o := range w.orders {
		if w.begun[run] == nil && o.start != nil && !o.final {
			taken = taken.Plus(roomOf(o.start.Profile))
		}
	}
	return taken
}

// fits reports whether a start leaves the worker within the room that it says it has now. The lead plans by what it was told
// last; meanwhile the room may have shrunk, and a worker that does not guard it would be brought over it.
func (w *workerState) fits(run host.Run, start *link.Start) bool {
	if w.begun[run] != nil {
		return true
	}
	asked := roomOf(start.Profile)
	return asked == job.Size{} || w.taken().Plus(asked).Fits(w.report.Capacity)
}
