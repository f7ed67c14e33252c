package plan

import (
	"cmp"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Group is the waiting tasks of one step in one iteration of a job.
type Group struct {
	Job       *job.Job
	Iteration int
	StepIndex int
	Step      *job.Step
	Service   string
	// Indexes are the waiting tasks; TasksByWorker counts the tasks of the step on each worker.
	Indexes       []int
	TasksByWorker map[job.Host]int
	// Avoid contains the workers on which a task of the group recently failed or was rejected.
	Avoid map[job.Host]bool
	// Excluded contains the workers on which no task of the group may start, because a run of it has failed there or its
	// job avoids them.
	Excluded map[job.Host]bool
	// LastAttempt is set if another failure of one of the tasks fails the job. They start on workers in a state up to
	// WorstHealth.
	LastAttempt bool
	WorstHealth health.State
	// AcceptsEjected is set if the long-running tasks have waited for another worker than the ejected ones.
	AcceptsEjected bool
	// Tickets maps each worker that may run the step to the ticket that a start there carries; nil allows all workers.
	Tickets map[job.Host]string
	// SuspectScore counts the worker crashes attributed to the tasks; with 0 they may start beside other tasks.
	SuspectScore int
	// NoneRunning is set if no task of the job runs; then one task is placed even where it makes serving tasks violate
	// their targets.
	NoneRunning bool
	// Priority 0 is the highest. Slack is the time until the job can no longer meet its objective, CutoffSlack the
	// time until it no longer earns anything.
	Priority    int
	Slack       time.Duration
	CutoffSlack time.Duration
	// Work is the remaining work of the job in core seconds, RunTime the run time of a task of the step, and Objective the duration
	// within which the iteration must complete; like the slacks they are by the estimates or by learned run times.
	Work      float64
	RunTime   time.Duration
	Objective time.Duration
}

// urgency orders groups, the most urgent first.
type urgency int

const (
	// shortWork is neither long-running nor best-effort, and can still earn something.
	shortWork urgency = iota
	// longRunningWork is long-running, or short work that can no longer earn anything.
	longRunningWork
	// bestEffortInTime can still meet its objective, bestEffortLate can still earn something, and bestEffortExpired
	// can do neither.
	bestEffortInTime
	bestEffortLate
	bestEffortExpired
)

// urgency returns the urgency of the group.
func (g *Group) urgency() urgency {
	switch {
	case g.Step.LongRunning:
		return longRunningWork
	case !g.Step.BestEffort && g.CutoffSlack > 0:
		return shortWork
	case !g.Step.BestEffort:
		return longRunningWork
	case g.CutoffSlack <= 0:
		return bestEffortExpired
	case g.Slack <= 0:
		return bestEffortLate
	}
	return bestEffortInTime
}

// remainingWork returns the sort key that puts best-effort jobs with the least work left first, since under overload this
// order lets the most jobs finish in time; it is 0 for other jobs.
func (g *Group) remainingWork() float64 {
	if !g.Step.BestEffort {
		return 0
	}
	return g.Work
}

func compareGroups(a, b *Group) int {
	return cmp.Or(
		cmp.Compare(b.SuspectScore, a.SuspectScore),
		cmp.Compare(a.urgency(), b.urgency()),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.remainingWork(), b.remainingWork()),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.Job.ID(), b.Job.ID()),
		cmp.Compare(a.Iteration, b.Iteration),
		cmp.Compare(a.StepIndex, b.StepIndex),
	)
}

// undo reverts place.
func (g *Group) undo(w *Worker) {
	w.Release(g.Step)
	if trials := w.trialsOf(g); *trials >= 0 {
		*trials++
	}
	g.TasksByWorker[w.Host]--
	w.removeStarting(g)
}

func (g *Group) place(w *Worker, index, run int) Placement {
	w.Allocate(g.Step)
	if trials := w.trialsOf(g); *trials > 0 {
		*trials--
	}
	g.TasksByWorker[w.Host]++
	w.addStarting(g)
	id := job.TaskID{Job: g.Job.ID(), Iteration: g.Iteration, Step: g.StepIndex, Index: index}
	return Placement{Task: id, Step: g.Step, Host: w.Host, Run: run, Suspect: g.SuspectScore > 0}
}
