package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// starvationDelay is how long nothing of a job may run before one of its tasks is placed at any cost.
	starvationDelay = time.Second
	// lateFactor times the objective is when a job earns nothing any more.
	lateFactor = 3
)

// waitingGroups returns the waiting tasks that may start now.
func (t *term) waitingGroups() []*plan.Group {
	var groups []*plan.Group
	now := time.Now()
	for _, known := range t.jobs {
		if known.job.State().IsFinal() {
			continue
		}
		known.updateIdle(now)
		for k := range known.job.Iterations() {
			if known.job.Spec().Iterations > 0 && now.Before(known.job.Due(k)) {
				break
			}
			groups = append(groups, t.waitingGroupsOf(known, k, now)...)
		}
	}
	return groups
}

func (t *term) waitingGroupsOf(known *trackedJob, k int, now time.Time) []*plan.Group {
	var groups []*plan.Group
	queue := t.currentQueue(known)
	since := known.acceptedAt
	if known.job.Spec().Iterations > 0 {
		since = known.job.Due(k)
	}
	for n := range known.job.Spec().Steps {
		waiting, held := waitingTasks(known.job, k, n)
		waiting = known.readyTasks(job.TaskID{Job: known.job.ID(), Iteration: k, Step: n}, waiting, now)
		if len(waiting) == 0 || !known.job.DependenciesDone(k, n) {
			continue
		}
		need := now.Sub(since) + known.job.RemainingTime(k)
		objective := known.job.Objective()
		others, suspects, weight := known.splitSuspects(job.TaskID{Job: known.job.ID(), Iteration: k, Step: n}, waiting, now)
		group := &plan.Group{
			Job: known.job, Time: k, StepIndex: n, Step: &known.job.Spec().Steps[n], Service: queue.Service,
			Indexes: others, TasksByWorker: held, Avoid: known.failedHosts, Priority: queue.Priority,
			Starved: !known.idleSince.IsZero() && now.Sub(known.idleSince) > starvationDelay,
			Slack:   objective - need, CutoffSlack: lateFactor*objective - need, Work: known.job.RemainingWork(k),
		}
		t.addTickets(group, queue)
		if len(suspects) > 0 {
			alone := *group
			alone.Indexes, alone.SuspectScore = suspects, weight
			groups = append(groups, &alone)
		}
		if len(others) > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}

func waitingTasks(j *job.Job, k, n int) ([]int, map[job.Host]int) {
	var waiting []int
	held := make(map[job.Host]int)
	tasks := j.Tasks(k, n)
	for i := range tasks {
		switch tasks[i].Phase() {
		case job.Waiting:
			waiting = append(waiting, i)
		case job.Placed:
			held[tasks[i].Host()]++
		case job.Done:
		}
	}
	return waiting, held
}

// currentQueue returns the queue as the newest configuration has it.
func (t *term) currentQueue(known *trackedJob) job.Queue {
	accepted := known.job.Queue()
	if newest := t.dispatcher.config.Policies.Newest(); newest != nil {
		if q, ok := newest.Queue(accepted.Name); ok {
			return q
		}
	}
	return accepted
}
