package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// starvedAfter is how long nothing of a job may run before one of its tasks is placed at any cost.
	starvedAfter = time.Second
	// lateFactor times the objective is when a job earns nothing any more.
	lateFactor = 3
)

// groups returns the waiting tasks that may start now.
func (t *term) groups() []*plan.Group {
	var groups []*plan.Group
	now := time.Now()
	for _, known := range t.jobs {
		if known.job.State().Final() {
			continue
		}
		known.noteIdle(now)
		for k := range known.job.Times() {
			if known.job.Spec().Times > 0 && now.Before(known.job.Due(k)) {
				break
			}
			groups = append(groups, t.groupsOf(known, k, now)...)
		}
	}
	return groups
}

func (t *term) groupsOf(known *tracked, k int, now time.Time) []*plan.Group {
	var groups []*plan.Group
	queue := t.queueOf(known)
	since := known.since
	if known.job.Spec().Times > 0 {
		since = known.job.Due(k)
	}
	for n := range known.job.Spec().Steps {
		waiting, held := waitingOf(known.job, k, n)
		waiting = known.ready(job.TaskID{Job: known.job.ID(), Time: k, Step: n}, waiting, now)
		if len(waiting) == 0 || !known.job.Open(k, n) {
			continue
		}
		need := now.Sub(since) + known.job.Remaining(k)
		objective := known.job.Objective()
		others, suspects, weight := known.splitSuspects(job.TaskID{Job: known.job.ID(), Time: k, Step: n}, waiting, now)
		group := &plan.Group{
			Job: known.job, Time: k, Number: n, Step: &known.job.Spec().Steps[n], Service: queue.Service,
			Indexes: others, Held: held, Avoid: known.failed, Priority: queue.Priority,
			Starved: !known.idle.IsZero() && now.Sub(known.idle) > starvedAfter,
			Slack:   objective - need, Late: lateFactor*objective - need, Work: known.job.Work(k),
		}
		t.advise(group, queue)
		if len(suspects) > 0 {
			alone := *group
			alone.Indexes, alone.Suspect = suspects, weight
			groups = append(groups, &alone)
		}
		if len(others) > 0 {
			groups = append(groups, group)
		}
	}
	return groups
}

func waitingOf(j *job.Job, k, n int) ([]int, map[job.Host]int) {
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

// queueOf returns the queue as the newest configuration has it.
func (t *term) queueOf(known *tracked) job.Queue {
	accepted := known.job.Queue()
	if newest := t.d.config.Policies.Newest(); newest != nil {
		if q, ok := newest.Queue(accepted.Name); ok {
			return q
		}
	}
	return accepted
}
