package runner

import (
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// reservationOf returns the part of a worker's capacity that a run reserves.
func reservationOf(p link.Profile) job.Size {
	step := job.Step{Size: job.Size{CPU: p.CPU, Memory: p.Memory, GPU: p.GPU}, BestEffort: p.BestEffort}
	return step.Reservation()
}

// reserved returns the total reservation of all runs that the worker may have: running, stopping, or with a start in progress.
func (w *workerState) reserved() job.Size {
	var total job.Size
	for run := range w.possibleRuns {
		total = total.Plus(reservationOf(w.profiles[run]))
	}
	for run, o := range w.orders {
		if w.possibleRuns[run] == nil && o.start != nil && !o.final {
			total = total.Plus(reservationOf(o.start.Profile))
		}
	}
	return total
}

// fits reports whether a start stays within the worker's capacity as last reported to the agent. The leader may have planned by a capacity that has
// shrunk since, and a worker without a check of its own would exceed it.
func (w *workerState) fits(run host.Run, start *link.Start) bool {
	if w.possibleRuns[run] != nil {
		return true
	}
	requested := reservationOf(start.Profile)
	return requested == job.Size{} || w.reserved().Plus(requested).Fits(w.report.Capacity)
}
