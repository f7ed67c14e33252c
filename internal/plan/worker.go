package plan

import (
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// servingShare is the part of a serving task's declared processors that it uses on average, as the users' sites draw it;
// what is left is for the tasks that fill.
const servingShare = 0.5

// Worker is what a plan knows of a worker; a plan takes its choices into account.
type Worker struct {
	Host     job.Host
	Service  string
	Labels   []string
	Capacity job.Size
	// Used is the room that is taken, also by what is being stopped.
	Used job.Size
	// Serving and Filling are the declared thousandths of a core of the tasks that serve and that fill.
	Serving int
	Filling int
	// Open says that new tasks may be placed here; Trials bounds how many, below 0 for any number.
	Open   bool
	Trials int
	// Speed is how fast tasks run here beside the other workers, 1 for the usual.
	Speed float64
	// Pressed says that a serving task here is near or over its target.
	Pressed bool
}

// Take counts a task as placed here.
func (w *Worker) Take(s *job.Step) {
	w.Used = w.Used.Plus(s.Room())
	w.count(s, 1)
}

// Give counts a task as gone from here.
func (w *Worker) Give(s *job.Step) {
	w.Used = w.Used.Minus(s.Room())
	w.count(s, -1)
}

func (w *Worker) count(s *job.Step, sign int) {
	switch {
	case s.Fills:
		w.Filling += sign * s.Size.CPU
	case s.Serves():
		w.Serving += sign * s.Size.CPU
	}
}

// Free returns the room that is left.
func (w *Worker) Free() job.Size { return w.Capacity.Minus(w.Used) }

// Spare returns the thousandths of a core that are likely left for what fills.
func (w *Worker) Spare() int {
	other := w.Used.CPU - w.Serving
	return w.Capacity.CPU - other - int(servingShare*float64(w.Serving)) - w.Filling
}

// admits reports whether a task of the step may run here by its labels and room.
func (w *Worker) admits(g *Group) bool {
	step := g.Step
	switch {
	case !w.Open || w.Trials == 0 || w.Service != g.Service:
		return false
	case step.Requires != "" && !slices.Contains(w.Labels, step.Requires):
		return false
	case step.AntiAffinity > 0 && g.Held[w.Host] >= step.AntiAffinity:
		return false
	}
	return step.Room().Fits(w.Free())
}
