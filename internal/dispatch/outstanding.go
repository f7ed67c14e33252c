package dispatch

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// outstandingTask is a task of which a run may begin on the worker of a VM, or goes on there, though it is not placed there.
type outstandingTask struct {
	// reportedAt is when the agent last reported it, until when it can no longer happen, unless it is reported again.
	reportedAt, until time.Time
	// withdrawn reports whether the present incarnation rejects the run, which only a later one may begin; running reports whether the worker lists it.
	withdrawn, running bool
}

// outstandingTasks are the outstanding tasks of each VM.
type outstandingTasks map[string]map[job.TaskID]outstandingTask

// recordOutstanding records the tasks of which runs may begin on a worker by its agent's report. What the report cannot tell is kept: an agent that has
// restarted does not know what its predecessor has sent, and one whose worker has not answered does not know which runs go on there.
func (t *term) recordOutstanding(r link.Report) {
	earlier := t.outstanding[r.VM]
	if len(earlier) == 0 && len(r.Unsettled) == 0 {
		return
	}
	now := time.Now()
	reported := make(map[job.TaskID]outstandingTask)
	for id, o := range earlier {
		predecessor := o.reportedAt.Before(now.Add(-agentAge(r)))
		unknown := predecessor && !knowsAllStarts(r) || (o.withdrawn || o.running) && (r.Unreachable || !t.confirms(r))
		if unknown && now.Before(o.until) {
			reported[id] = o
		}
	}
	for _, run := range r.Unsettled {
		if id, ok := run.TaskID(); ok {
			o := reported[id]
			o.reportedAt, o.until, o.withdrawn = now, t.startsOver(now.Add(agentLease)), o.withdrawn || slices.Contains(r.Withdrawn, run)
			reported[id] = o
		}
	}
	t.outstanding[r.VM] = reported
	if len(reported) == 0 {
		delete(t.outstanding, r.VM)
	}
}

// recordUnplacedRun records that a worker lists a run that is not placed there, until a report no longer lists it.
func (t *term) recordUnplacedRun(vm string, id job.TaskID) {
	if t.outstanding[vm] == nil {
		t.outstanding[vm] = make(map[job.TaskID]outstandingTask)
	}
	now := time.Now()
	o := t.outstanding[vm][id]
	o.reportedAt, o.until, o.running = now, t.startsOver(now.Add(agentLease)), true
	t.outstanding[vm][id] = o
}

// isOutstanding reports whether another run of a task may begin on the worker of a VM.
func (t *term) isOutstanding(id job.TaskID, vm string) bool {
	o, known := t.outstanding[vm][id]
	return known && time.Now().Before(o.until)
}

// heldBack returns the waiting tasks that must not be placed yet, since a run of them goes on somewhere or may begin there.
func (t *term) heldBack() map[job.TaskID]bool {
	held := make(map[job.TaskID]bool)
	now := time.Now()
	for _, tasks := range t.outstanding {
		for id, o := range tasks {
			if (o.withdrawn || o.running) && now.Before(o.until) {
				held[id] = true
			}
		}
	}
	return held
}

// withoutHeldBack returns groups without the tasks that are held back, and without gangs that have one.
func (t *term) withoutHeldBack(groups []*plan.Group) []*plan.Group {
	held := t.heldBack()
	if len(held) == 0 {
		return groups
	}
	var remaining []*plan.Group
	for _, g := range groups {
		rest := *g
		id := job.TaskID{Job: g.Job.ID(), Iteration: g.Iteration, Step: g.StepIndex}
		rest.Indexes = slices.DeleteFunc(slices.Clone(g.Indexes), func(index int) bool {
			id.Index = index
			return held[id]
		})
		if len(rest.Indexes) == len(g.Indexes) || len(rest.Indexes) > 0 && !g.Step.Gang {
			remaining = append(remaining, &rest)
		}
	}
	return remaining
}
