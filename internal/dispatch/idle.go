package dispatch

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// idleLogDelay is how long a long-running task may not run before the reason is logged, and the least time between two log lines about it.
	idleLogDelay = 5 * time.Second
	// maxIdleLogLines bounds the log lines of one check, since an outage may affect all long-running tasks.
	maxIdleLogLines = 20
	// maxUnplacedLogLines bounds the log lines about the steps for whose long-running tasks a plan found no worker.
	maxUnplacedLogLines = 5
)

// idleTask is a long-running task that does not run.
type idleTask struct {
	since, loggedAt time.Time
}

// logIdleTasks logs the long-running tasks that have not run for idleLogDelay, with the reason.
func (t *term) logIdleTasks(now time.Time) {
	lines := 0
	for _, tracked := range t.jobs {
		if !tracked.hasLongRunningStep() || tracked.job.State().IsFinal() {
			continue
		}
		tracked.job.Each(func(id job.TaskID, task *job.Task) {
			if !tracked.job.Spec().Steps[id.Step].LongRunning || !tracked.job.DependenciesDone(id.Iteration, id.Step) {
				return
			}
			reason := t.idleReason(tracked, id, task, now)
			if lines < maxIdleLogLines && tracked.idleLogDue(id, reason, now) {
				lines++
				t.logger.Warn("long-running task does not run; task=%s run=%d vm=%s instance=%s idle_ms=%d reason=%s",
					id, task.Run(), task.Host().VM, task.Host().Incarnation, now.Sub(tracked.idleTasks[id].since).Milliseconds(), reason)
			}
		})
	}
}

// hasLongRunningStep reports whether a step of the job is long-running.
func (j *trackedJob) hasLongRunningStep() bool {
	return slices.ContainsFunc(j.job.Spec().Steps, func(s job.Step) bool { return s.LongRunning })
}

// idleLogDue records whether a task runs, which an empty reason stands for, and reports whether its idleness must be logged now.
func (j *trackedJob) idleLogDue(id job.TaskID, reason string, now time.Time) bool {
	idle, known := j.idleTasks[id]
	switch {
	case reason == "":
		delete(j.idleTasks, id)
		return false
	case !known:
		j.idleTasks[id] = idleTask{since: now, loggedAt: now}
		return false
	case now.Sub(idle.loggedAt) < idleLogDelay:
		return false
	}
	j.idleTasks[id] = idleTask{since: idle.since, loggedAt: now}
	return true
}

// idleReason returns why a long-running task does not run, empty if its worker reports the run.
func (t *term) idleReason(tracked *trackedJob, id job.TaskID, task *job.Task, now time.Time) string {
	switch {
	case task.Phase() == job.Placed:
		return t.placedIdleReason(id, task, now)
	case t.closuresUnconfirmed:
		return "placement is suspended"
	case t.heldBack[id]:
		return "another run of it goes on or may begin"
	case now.Before(tracked.backoffs[id].until):
		return "its restart is delayed"
	}
	return "no worker was found for it"
}

// placedIdleReason returns why a placed long-running task does not run, empty if its worker reports the run.
func (t *term) placedIdleReason(id job.TaskID, task *job.Task, now time.Time) string {
	h, a := t.hosts.get(task.Host()), t.agents[task.Host().VM]
	if h == nil || h.runs[id] == nil {
		return "the worker that it is placed on is unknown"
	}
	switch p := h.runs[id]; {
	case !p.committed:
		return "its placement is not committed"
	case p.stopping:
		return "its stop is not confirmed"
	case p.withdrawn:
		return "a start of its withdrawn run may be carried out"
	case a == nil:
		return "its agent has not reported"
	case a.host != task.Host():
		return "its agent has not confirmed the worker"
	case now.Sub(a.confirmedAt) > maxReportAge:
		return "its agent no longer confirms the worker"
	case p.startSentAt.IsZero() && p.reportedAt.IsZero():
		return "its start is not sent"
	case now.Sub(p.reportedAt) > idleLogDelay:
		return "its worker does not list it"
	}
	return ""
}

// logUnplaced logs for which long-running steps the plan found no worker, and what excludes how many workers.
func (t *term) logUnplaced(planner *plan.Planner, groups []*plan.Group) {
	lines := 0
	for _, g := range groups {
		if !g.Step.LongRunning || allPlaced(g) {
			continue
		}
		if lines++; lines > maxUnplacedLogLines {
			return
		}
		size := g.Step.Reservation()
		t.logger.Warn("no worker for long-running tasks; job=%s step=%d tasks=%d priority=%d cpu=%d mem_mb=%d fits_without_best_effort=%d excluded=[%s]",
			g.Job.ID(), g.StepIndex, len(g.Indexes), g.Priority, size.CPU, size.Memory, t.fitsWithoutBestEffort(g), planner.CountExclusions(g))
	}
}

// allPlaced reports whether no task of a group waits any more.
func allPlaced(g *plan.Group) bool {
	tasks := g.Job.Tasks(g.Iteration, g.StepIndex)
	return !slices.ContainsFunc(g.Indexes, func(i int) bool { return tasks[i].Phase() == job.Waiting })
}

// fitsWithoutBestEffort counts the workers on which a task of the group would fit if no best-effort task ran there.
func (t *term) fitsWithoutBestEffort(g *plan.Group) int {
	count := 0
	for _, h := range t.hosts.all() {
		free := h.worker.Free()
		for _, p := range h.runs {
			if p.step.BestEffort {
				free = free.Plus(p.step.Reservation())
			}
		}
		if h.worker.Schedulable && g.Step.Reservation().Fits(free) {
			count++
		}
	}
	return count
}
