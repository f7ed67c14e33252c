package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// starvationDelay is how long a job may have no placed task before one of its tasks is placed at any cost.
	starvationDelay = time.Second
	// lateFactor times its objective is the time after which a job has no value.
	lateFactor = 3
)

// waitingGroups returns the waiting tasks that may start now, grouped by step.
func (t *term) waitingGroups() []*plan.Group {
	var groups []*plan.Group
	now := time.Now()
	for _, tracked := range t.jobs {
		if tracked.job.State().IsFinal() || tracked.suspended() {
			continue
		}
		tracked.updateIdle(now)
		for iteration := range tracked.job.Iterations() {
			if tracked.job.Spec().Iterations > 0 && now.Before(tracked.job.Due(iteration)) {
				break
			}
			groups = append(groups, t.waitingGroupsOf(tracked, iteration, now)...)
		}
	}
	return groups
}

func (t *term) waitingGroupsOf(tracked *trackedJob, iteration int, now time.Time) []*plan.Group {
	var groups []*plan.Group
	var predicted *forecast
	queue := t.currentQueue(tracked)
	since := tracked.acceptedAt
	if tracked.job.Spec().Iterations > 0 {
		since = tracked.job.Due(iteration)
	}
	for step := range tracked.job.Spec().Steps {
		waiting, byWorker := waitingTasks(tracked.job, iteration, step)
		waiting = tracked.readyTasks(job.TaskID{Job: tracked.job.ID(), Iteration: iteration, Step: step}, waiting, now)
		if len(waiting) == 0 || !tracked.job.DependenciesDone(iteration, step) {
			continue
		}
		if predicted == nil {
			predicted = t.forecast(tracked, iteration)
		}
		expected := now.Sub(since) + predicted.remaining
		others, suspects, score := tracked.splitSuspects(job.TaskID{Job: tracked.job.ID(), Iteration: iteration, Step: step}, waiting, now)
		group := &plan.Group{
			Job: tracked.job, Iteration: iteration, StepIndex: step, Step: &tracked.job.Spec().Steps[step], Service: queue.Service,
			Indexes: others, TasksByWorker: byWorker, Avoid: tracked.failedHosts, Priority: queue.Priority,
			NoneRunning: !tracked.idleSince.IsZero() && now.Sub(tracked.idleSince) > starvationDelay,
			Slack:       predicted.objective - expected, CutoffSlack: lateFactor*predicted.objective - expected,
			Work: predicted.work, RunTime: predicted.duration(step), Objective: predicted.objective,
		}
		t.addTickets(group, queue)
		if len(suspects) > 0 {
			alone := *group
			alone.Indexes, alone.SuspectScore = suspects, score
			groups = append(groups, &alone)
		}
		if len(others) > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}

func waitingTasks(j *job.Job, iteration, step int) ([]int, map[job.Host]int) {
	var waiting []int
	placed := make(map[job.Host]int)
	tasks := j.Tasks(iteration, step)
	for i := range tasks {
		switch tasks[i].Phase() {
		case job.Waiting:
			waiting = append(waiting, i)
		case job.Placed:
			placed[tasks[i].Host()]++
		case job.Done:
		}
	}
	return waiting, placed
}

// currentQueue returns the queue of a job by the newest configuration, or as it was accepted if the queue was removed.
func (t *term) currentQueue(tracked *trackedJob) job.Queue {
	accepted := tracked.job.Queue()
	if newest := t.dispatcher.config.Policies.Newest(); newest != nil {
		if q, ok := newest.Queue(accepted.Name); ok {
			return q
		}
	}
	return accepted
}
