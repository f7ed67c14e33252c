package plan

import (
	"maps"
	"math"
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// servingShare is the part of a serving task's declared processors that it uses on average, as the users' sites draw it;
// what is left is for the tasks that fill.
const servingShare = 0.5

// Unlimited stands for no bound on the tasks that may be placed on a worker.
const Unlimited = -1

// Worker is what a plan knows of a worker; a plan takes its choices into account.
type Worker struct {
	Host     job.Host
	Service  string
	Labels   []string
	Capacity job.Size
	// Used is the room that is taken, also by what is being stopped.
	Used job.Size
	// ServingCPU and Filling are the declared thousandths of a core of the tasks that serve and that fill.
	ServingCPU    int
	BestEffortCPU int
	// Schedulable says that new tasks may be placed here; Trials bounds how many, AnyNumber for as many as fit.
	Schedulable bool
	Trials      int
	// HallClosed says that the operators want nothing new here.
	HallClosed bool
	// BestEffortBlocked says that a task here has been over its target for so long that nothing that fills may be added.
	BestEffortBlocked bool
	// Starting counts the runs here that have not outlived their start yet. Reserved says that one of them is of a suspect,
	// beside which nothing may start, Kept that the next to start here is to be a suspect.
	Starting           int
	SuspectStarting    bool
	ReservedForSuspect bool
	// prover is the group of suspects of which this plan has placed a task here.
	prover *Group
	// ServingTasks are the tasks that serve here, Fills what is asked by those that fill, in shares of the worker by image.
	ServingTasks []ServingTask
	Shares       map[string]float64
	// Images counts the serving tasks by image.
	Images map[string]int
}

// clash returns how much a serving image differs from the nearest image that serves here in what slows it, 0 where none
// does. The nearest counts, since a worker of images that clash is spoiled for what fills already.
func (w *Worker) clash(image string, weights PressureModel) float64 {
	nearest := math.Inf(1)
	for other, count := range w.Images {
		if count > 0 {
			nearest = min(nearest, weights.Conflict(image, other))
		}
	}
	if math.IsInf(nearest, 1) {
		return 0
	}
	return nearest
}

// Allocate counts a task as placed here.
func (w *Worker) Allocate(s *job.Step) {
	w.Used = w.Used.Plus(s.Reservation())
	w.Count(s, s.Size.CPU, 1)
}

// Release counts a task as gone from here.
func (w *Worker) Release(s *job.Step) {
	w.Used = w.Used.Minus(s.Reservation())
	w.Count(s, s.Size.CPU, -1)
}

// Reset forgets what serves and what fills here, so that it can be counted anew.
func (w *Worker) Reset() { w.ServingCPU, w.BestEffortCPU, w.Shares, w.Images = 0, 0, nil, nil }

// Count counts tasks of a step, of so many thousandths of a core each, among what serves or fills; the number may be negative.
func (w *Worker) Count(s *job.Step, cpu, tasks int) {
	switch {
	case s.BestEffort:
		w.BestEffortCPU += tasks * cpu
		if w.Shares == nil {
			w.Shares = make(map[string]float64)
		}
		w.Shares[s.Image] += w.share(tasks * cpu)
	case s.Serves():
		w.ServingCPU += tasks * cpu
		if w.Images == nil {
			w.Images = make(map[string]int)
		}
		w.Images[s.Image] += tasks
	}
}

// share returns thousandths of a core as a share of the worker.
func (w *Worker) share(cpu int) float64 { return float64(cpu) / float64(max(w.Capacity.CPU, 1)) }

// Free returns the room that is left.
func (w *Worker) Free() job.Size { return w.Capacity.Minus(w.Used) }

// Spare returns the thousandths of a core that are likely left for what fills.
func (w *Worker) Spare() int {
	other := w.Used.CPU - w.ServingCPU
	return w.Capacity.CPU - other - int(servingShare*float64(w.ServingCPU)) - w.BestEffortCPU
}

// admits reports whether a task of the step may run here by its labels and room.
func (w *Worker) admits(g *Group) bool {
	step := g.Step
	_, advised := g.Tickets[w.Host]
	switch {
	case g.Tickets != nil && !advised:
		return false
	case !w.Schedulable || w.HallClosed || w.Trials == 0 || w.Service != g.Service:
		return false
	case !w.mayProve(g):
		return false
	case step.Requires != "" && !slices.Contains(w.Labels, step.Requires):
		return false
	case step.BestEffort && w.BestEffortBlocked:
		return false
	case step.AntiAffinity > 0 && g.TasksByWorker[w.Host] >= step.AntiAffinity:
		return false
	}
	return step.Reservation().Fits(w.Free())
}

// leastPress is the loss of headroom below which a pair counts as harmless.
const leastPress = 0.01

// harm returns how many more of the tasks that serve here are likely over their targets by a task of a step beside them.
func (w *Worker) harm(step *job.Step, weights PressureModel) float64 {
	total := 0.0
	share := w.share(step.Size.CPU)
	for i := range w.ServingTasks {
		s := &w.ServingTasks[i]
		weight, deviation := weights.Weight(s.Image, step.Image)
		if weight*share < leastPress && deviation*share < leastPress {
			continue
		}
		more := deviation * share
		total += max(s.chance(weight*share, more*more)-s.chanceNow(), 0)
	}
	return total
}

// burden counts a share of the worker that a filling image gains or loses.
func (w *Worker) burden(image string, share float64, weights PressureModel) {
	for i := range w.ServingTasks {
		weight, deviation := weights.Weight(w.ServingTasks[i].Image, image)
		w.ServingTasks[i].press(weight, deviation, share)
	}
}

// serve adds a task that will serve here, of which nothing is known but what fills beside it.
func (w *Worker) serve(image string, weights PressureModel) {
	s := ServingTask{Image: image, Headroom: pressure.UnknownHeadroom, Deviation: pressure.UnknownDeviation}
	for _, filling := range slices.Sorted(maps.Keys(w.Shares)) {
		weight, deviation := weights.Weight(image, filling)
		s.press(weight, deviation, w.Shares[filling])
	}
	w.ServingTasks = append(w.ServingTasks, s)
}
