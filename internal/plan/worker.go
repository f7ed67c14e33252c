package plan

import (
	"maps"
	"math"
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/pressure"
)

// servingCPUShare is the part of its declared CPU that a serving task uses on average, by the load curves of the
// users' sites; the rest is available to best-effort tasks.
const servingCPUShare = 0.5

// Unlimited is the value of Worker.Trials without a bound.
const Unlimited = -1

// Worker is the planner's view of a worker; it includes the placements of the current plan.
type Worker struct {
	Host     job.Host
	Service  string
	Labels   []string
	Capacity job.Size
	// Used is the reserved capacity, including that of tasks being stopped.
	Used job.Size
	// ServingCPU and BestEffortCPU are the declared thousandths of a core of the serving and best-effort tasks.
	ServingCPU    int
	BestEffortCPU int
	// Schedulable is set if new tasks may be placed here; Trials bounds their number, Unlimited for as many as fit.
	Schedulable bool
	Trials      int
	// LongRunningTrials bounds the number of long-running tasks in place of Trials if the worker is ejected.
	LongRunningTrials int
	// Stopping is set if the agent of the worker stops: its VM may be removed, or the agent may return within seconds.
	Stopping bool
	// Health is the worker's state by the failures of all jobs; it stays healthy where these are not tracked.
	Health health.State
	// HallClosed is set if the operators have closed the worker's hall to new tasks.
	HallClosed bool
	// BestEffortBlocked is set if a task here has violated its target for so long that no best-effort task may be
	// added.
	BestEffortBlocked bool
	// Starting counts the runs that have not survived startup yet. SuspectStarting is set if one of them is a suspect,
	// beside which nothing may start; ReservedForSuspect is set if only a suspect may start next.
	Starting           int
	SuspectStarting    bool
	ReservedForSuspect bool
	// suspectGroup is the group of suspects of which this plan has placed a task here.
	suspectGroup *Group
	// ServingTasks are the serving tasks here; Shares are the shares of the worker that best-effort tasks request, by
	// image.
	ServingTasks []ServingTask
	Shares       map[string]float64
	// Images counts the serving tasks by image.
	Images map[string]int
}

// conflict returns the lowest conflict between a serving image and those on the worker, 0 if there are none. The
// lowest counts, since a worker with conflicting images already suits few best-effort tasks.
func (w *Worker) conflict(image string, weights PressureModel) float64 {
	lowest := math.Inf(1)
	for other, count := range w.Images {
		if count > 0 {
			lowest = min(lowest, weights.Conflict(image, other))
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

// Allocate adds a task to the worker.
func (w *Worker) Allocate(s *job.Step) {
	w.Used = w.Used.Plus(s.Reservation())
	w.Count(s, s.Size.CPU, 1)
}

// Release removes a task from the worker.
func (w *Worker) Release(s *job.Step) {
	w.Used = w.Used.Minus(s.Reservation())
	w.Count(s, s.Size.CPU, -1)
}

// Reset clears the counts of serving and best-effort tasks.
func (w *Worker) Reset() { w.ServingCPU, w.BestEffortCPU, w.Shares, w.Images = 0, 0, nil, nil }

// Count adds tasks of a step, with cpu thousandths of a core each, to the serving or best-effort counts; tasks may be
// negative.
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

// Free returns the free capacity.
func (w *Worker) Free() job.Size { return w.Capacity.Minus(w.Used) }

// Spare returns the thousandths of a core that are expected to be available to best-effort tasks.
func (w *Worker) Spare() int {
	other := w.Used.CPU - w.ServingCPU
	return w.Capacity.CPU - other - int(servingCPUShare*float64(w.ServingCPU)) - w.BestEffortCPU
}

// minLoss is the loss of headroom below which the interference of a pair is ignored.
const minLoss = 0.01

// addedViolations returns how many more serving tasks are expected to violate their targets beside a task of the step.
func (w *Worker) addedViolations(step *job.Step, weights PressureModel) float64 {
	total := 0.0
	share := w.share(step.Size.CPU)
	for i := range w.ServingTasks {
		s := &w.ServingTasks[i]
		weight, deviation := weights.Weight(s.Image, step.Image)
		if weight*share < minLoss && deviation*share < minLoss {
			continue
		}
		lossDeviation := deviation * share
		total += max(s.violationProbabilityWith(weight*share, lossDeviation*lossDeviation)-s.violationProbability(), 0)
	}
	return total
}

// addBestEffort adds the interference of a best-effort image that uses share of the worker; a negative share removes
// it.
func (w *Worker) addBestEffort(image string, share float64, weights PressureModel) {
	for i := range w.ServingTasks {
		weight, deviation := weights.Weight(w.ServingTasks[i].Image, image)
		w.ServingTasks[i].addInterference(weight, deviation, share)
	}
}

// addServing adds a serving task without measurements; its headroom is lowered by the best-effort tasks on the worker.
func (w *Worker) addServing(image string, weights PressureModel) {
	s := ServingTask{Image: image, Headroom: pressure.UnknownHeadroom, Deviation: pressure.UnknownDeviation}
	for _, bestEffort := range slices.Sorted(maps.Keys(w.Shares)) {
		weight, deviation := weights.Weight(image, bestEffort)
		s.addInterference(weight, deviation, w.Shares[bestEffort])
	}
	w.ServingTasks = append(w.ServingTasks, s)
}
