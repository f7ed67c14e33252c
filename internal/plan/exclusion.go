package plan

import (
	"fmt"
	"slices"
)

//go:generate stringer -type=Exclusion -linecomment -output=exclusion_string.go

// Exclusion is the first reason for which a worker cannot take a task.
type Exclusion int

// The reasons, in the order in which they are checked.
const (
	NotExcluded       Exclusion = iota // none
	OtherService                       // other_service
	Unschedulable                      // unschedulable
	ClosedHall                         // closed_hall
	NoTicket                           // no_ticket
	NoTrialLeft                        // no_trial_left
	BesideSuspect                      // beside_suspect
	Unhealthy                          // unhealthy
	LabelMissing                       // label_missing
	OverTarget                         // over_target
	AntiAffinity                       // anti_affinity
	NoCPU                              // no_cpu
	NoMemory                           // no_memory
	NoGPU                              // no_gpu
	HarmsServingTasks                  // harms_serving_tasks
	exclusionCount
)

// admits reports whether a task of the group may run here by its tickets, labels and reservation.
func (w *Worker) admits(g *Group) bool { return w.exclusion(g) == NotExcluded }

// exclusion returns why a task of the group may not run here, other than by its effect on serving tasks.
func (w *Worker) exclusion(g *Group) Exclusion {
	step := g.Step
	_, hasTicket := g.Tickets[w.Host]
	switch {
	case w.Service != g.Service:
		return OtherService
	case !w.Schedulable:
		return Unschedulable
	case w.HallClosed:
		return ClosedHall
	case g.Tickets != nil && !hasTicket:
		return NoTicket
	case *w.trialsOf(g) == 0:
		return NoTrialLeft
	case !w.mayStart(g):
		return BesideSuspect
	case !w.healthyEnough(g):
		return Unhealthy
	case step.Requires != "" && !slices.Contains(w.Labels, step.Requires):
		return LabelMissing
	case step.BestEffort && w.BestEffortBlocked:
		return OverTarget
	case step.AntiAffinity > 0 && g.TasksByWorker[w.Host] >= step.AntiAffinity:
		return AntiAffinity
	}
	return w.capacityExclusion(g)
}

// capacityExclusion returns which resource the worker lacks for a task of the group.
func (w *Worker) capacityExclusion(g *Group) Exclusion {
	requested, free := g.Step.Reservation(), w.Free()
	switch {
	case requested.Fits(free):
		return NotExcluded
	case requested.CPU > free.CPU:
		return NoCPU
	case requested.Memory > free.Memory:
		return NoMemory
	}
	return NoGPU
}

// Exclusions counts workers by the reason for which they cannot take a task.
type Exclusions [exclusionCount]int

// CountExclusions counts the planner's workers by the reason for which they cannot take a task of the group.
func (p *Planner) CountExclusions(g *Group) Exclusions {
	var counts Exclusions
	for _, w := range p.workers {
		reason := w.exclusion(g)
		if reason == NotExcluded {
			if _, suitable := p.costOf(w, g); !suitable {
				reason = HarmsServingTasks
			}
		}
		counts[reason]++
	}
	return counts
}

// String returns the counts above zero, such as "unschedulable=3 no_memory=12".
func (e Exclusions) String() string {
	var text []byte
	for reason, count := range e {
		if count == 0 {
			continue
		}
		if len(text) > 0 {
			text = append(text, ' ')
		}
		text = fmt.Appendf(text, "%s=%d", Exclusion(reason), count)
	}
	return string(text)
}
