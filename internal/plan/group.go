package plan

import (
	"cmp"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Group is the waiting tasks of one step of one time of a job.
type Group struct {
	Job       *job.Job
	Time      int
	StepIndex int
	Step      *job.Step
	Service   string
	// Indexes are the tasks that wait; Held counts the step's tasks on each worker.
	Indexes       []int
	TasksByWorker map[job.Host]int
	// Avoid names workers on which a task of the group failed or was rejected a moment ago.
	Avoid map[job.Host]bool
	// Tickets are the workers that may run the step at all, with what a start there brings; nil where all may.
	Tickets map[job.Host]string
	// SuspectScore is how much is held against the tasks for crashes of workers, 0 where they may start beside others.
	SuspectScore int
	// Starved says that nothing of the job runs; then one task is placed even where it presses on what serves.
	Starved bool
	// Priority 0 goes first. Slack is the time left before the objective is missed if all goes well from now on,
	// Late the same before nothing is earned at all.
	Priority    int
	Slack       time.Duration
	CutoffSlack time.Duration
	// Work is what is left of the job's time, in core seconds by its estimates.
	Work float64
}

// urgency orders groups, the most urgent first.
type urgency int

const (
	// shortWork neither lasts nor fills, and can still earn something.
	shortWork urgency = iota
	// lastingWork is what lasts, and short work that is far too late.
	lastingWork
	// batchInTime, batchLate and batchTooLate are work that fills: it can still meet its objective, still earn something,
	// or neither.
	batchInTime
	batchLate
	batchTooLate
)

// urgency returns how urgent the group is.
func (g *Group) urgency() urgency {
	switch {
	case g.Step.LongRunning:
		return lastingWork
	case !g.Step.BestEffort && g.CutoffSlack > 0:
		return shortWork
	case !g.Step.BestEffort:
		return lastingWork
	case g.CutoffSlack <= 0:
		return batchTooLate
	case g.Slack <= 0:
		return batchLate
	}
	return batchInTime
}

// order puts the batch jobs with the least work left first: under more work than can be done in time, that is what most
// of them come in time by.
func (g *Group) order() float64 {
	if !g.Step.BestEffort {
		return 0
	}
	return g.Work
}

func before(a, b *Group) int {
	return cmp.Or(
		cmp.Compare(b.SuspectScore, a.SuspectScore),
		cmp.Compare(a.urgency(), b.urgency()),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.order(), b.order()),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.Job.ID(), b.Job.ID()),
		cmp.Compare(a.Time, b.Time),
		cmp.Compare(a.StepIndex, b.StepIndex),
	)
}

// giveBack undoes take.
func (g *Group) giveBack(w *Worker) {
	w.Release(g.Step)
	if w.Trials >= 0 {
		w.Trials++
	}
	g.TasksByWorker[w.Host]--
	w.unprove(g)
}

func (g *Group) take(w *Worker, index, run int) Placement {
	w.Allocate(g.Step)
	if w.Trials > 0 {
		w.Trials--
	}
	g.TasksByWorker[w.Host]++
	w.prove(g)
	id := job.TaskID{Job: g.Job.ID(), Iteration: g.Time, Step: g.StepIndex, Index: index}
	return Placement{Task: id, Step: g.Step, Host: w.Host, Run: run, Suspect: g.SuspectScore > 0}
}
