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
		if now.Before(o.until) && t.isUnknown(o, r, now) {
			reported[id] = o
		}
	}
	for _, run := range r.Unsettled {
		if id, ok := run.TaskID(); ok {
			o := reported[id]
			o.reportedAt, o.until, o.withdrawn = now, t.latestEnd(now.Add(agentLease)), o.withdrawn || slices.Contains(r.Withdrawn, run)
			reported[id] = o
		}
	}
	t.outstanding[r.VM] = reported
	if len(reported) == 0 {
		delete(t.outstanding, r.VM)
	}
}

// isUnknown reports whether a report that does not list an outstanding task leaves open whether it still is.
func (t *term) isUnknown(o outstandingTask, r link.Report, now time.Time) bool {
	if o.reportedAt.Before(now.Add(-agentAge(r))) && !knowsAllStarts(r) {
		return true
	}
	answered := !r.Unreachable && t.confirms(r)
	return !answered && (o.withdrawn || o.running && !r.LeaseExpired)
}

// staysWithdrawn reports whether a rejected run must stay placed, since a later incarnation may begin it. Unlike a task that is held back, it is known to the
// next leader. It is rejected again with each order that repeats its start.
func (t *term) staysWithdrawn(h *hostState, id job.TaskID, p *placedRun, r link.Report) bool {
	withdrawn := h.mayReuseID() && !p.handedOver && (t.outstanding[r.VM][id].withdrawn || p.unsettledBefore && !knowsAllStarts(r))
	if withdrawn && !p.withdrawn {
		t.logger.Info("withdrawn run stays placed, since a later incarnation may carry out a start of it; task=%s run=%d vm=%s instance=%s",
			id, p.number, r.VM, h.worker.Host.Incarnation)
	}
	p.withdrawn = withdrawn
	return withdrawn
}

// recordUnplacedRun records that a worker lists a run that is not placed there, until a report no longer lists it.
func (t *term) recordUnplacedRun(h *hostState, id job.TaskID) {
	vm := h.worker.Host.VM
	if t.outstanding[vm] == nil {
		t.outstanding[vm] = make(map[job.TaskID]outstandingTask)
	}
	now := time.Now()
	o := t.outstanding[vm][id]
	o.reportedAt, o.until, o.running = now, later(later(o.until, h.heldUntil), now.Add(agentLease+agentLeaseMargin)), true
	t.outstanding[vm][id] = o
}

// isOutstanding reports whether another run of a task may begin on the worker of a VM.
func (t *term) isOutstanding(id job.TaskID, vm string) bool {
	o, known := t.outstanding[vm][id]
	return known && time.Now().Before(o.until)
}

// updateHeldBack determines the waiting tasks that must not be placed yet, since a run of them goes on somewhere or may begin there, and removes what is over.
func (t *term) updateHeldBack(now time.Time) {
	t.heldBack = make(map[job.TaskID]bool)
	for vm, tasks := range t.outstanding {
		for id, o := range tasks {
			switch {
			case now.After(o.until):
				delete(tasks, id)
			case o.withdrawn || o.running:
				t.heldBack[id] = true
			}
		}
		if len(tasks) == 0 {
			delete(t.outstanding, vm)
		}
	}
}

// withoutHeldBack returns groups without the tasks that are held back, and without gangs that have one. The copies of a speculative step may run at once.
func (t *term) withoutHeldBack(groups []*plan.Group) []*plan.Group {
	t.updateHeldBack(time.Now())
	if len(t.heldBack) == 0 {
		return groups
	}
	var remaining []*plan.Group
	for _, g := range groups {
		rest := *g
		id := job.TaskID{Job: g.Job.ID(), Iteration: g.Iteration, Step: g.StepIndex}
		rest.Indexes = slices.DeleteFunc(slices.Clone(g.Indexes), func(index int) bool {
			id.Index = index
			return t.heldBack[id] && !g.Step.Speculative
		})
		if len(rest.Indexes) == len(g.Indexes) || len(rest.Indexes) > 0 && !g.Step.Gang {
			remaining = append(remaining, &rest)
		}
	}
	return remaining
}
