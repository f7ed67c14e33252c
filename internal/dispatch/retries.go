package dispatch

import (
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// maxHealthyWait is how long a task on its last attempt waits for a healthy worker before a degraded one will do.
	maxHealthyWait = 2 * time.Second
	// maxExcludedWait is how long a restarted task waits for capacity outside the workers on which it failed or that its job avoids, and a long-running
	// one for capacity outside the ejected workers; then it starts there, since a waiting task must start within 3 s if any worker has the capacity.
	maxExcludedWait = 2500 * time.Millisecond
	// strictAvoidDivisor is the divisor of the number of schedulable workers of a service that gives how many a job may avoid
	// before avoidance is only a cost: otherwise a job whose tasks fail everywhere could not restart them.
	strictAvoidDivisor = 2
)

// lastAttempt is a task on its last attempt that waits for a healthy worker.
type lastAttempt struct {
	since time.Time
	// held is set once a plan has left the task waiting.
	held bool
}

// excludedWait is the wait of a task, since a run ended, for capacity outside its excluded workers.
type excludedWait struct {
	run   int
	since time.Time
}

// retryRules splits the waiting groups of a plan by where their tasks may start.
type retryRules struct {
	term    *term
	now     time.Time
	workers []*plan.Worker
	// allHealthy is set if no worker is degraded or ejected: then last attempts need no group of their own.
	allHealthy bool
	// schedulable counts the schedulable workers of each service, ejected only the ejected ones of them.
	schedulable, ejected map[string]int
}

// retryKind is what the tasks of a group share.
type retryKind struct {
	lastAttempt bool
	worst       health.State
	// restarted is set if the tasks have run before and their job avoids workers; failedOn are the workers on which runs of
	// the tasks have failed.
	restarted bool
	failedOn  []job.Host
	// waited is set once the tasks have waited long enough for other workers to start on any, and acceptsEjected once long-running tasks have.
	waited, acceptsEjected bool
}

func (k retryKind) equal(other retryKind) bool {
	return k.lastAttempt == other.lastAttempt && k.worst == other.worst && k.restarted == other.restarted && k.waited == other.waited &&
		k.acceptsEjected == other.acceptsEjected && slices.Equal(k.failedOn, other.failedOn)
}

// splitRetries gives tasks on their last attempt and restarted tasks groups of their own, with the workers where they must
// not start. Long-running tasks restart anywhere, on ejected workers only after a wait. Gangs stay whole and may restart on any worker that their last
// attempt allows: without the workers on which they failed, a gang might not fit.
func (t *term) splitRetries(groups []*plan.Group, workers []*plan.Worker) []*plan.Group {
	if t.health == nil {
		return groups
	}
	rules := newRetryRules(t, workers)
	split := make([]*plan.Group, 0, len(groups))
	for _, g := range groups {
		switch {
		case g.Step.LongRunning:
			split = append(split, rules.splitLongRunning(g)...)
		case g.Step.Gang:
			split = append(split, rules.limitGang(g))
		default:
			split = append(split, rules.split(g)...)
		}
	}
	return split
}

func newRetryRules(t *term, workers []*plan.Worker) *retryRules {
	r := &retryRules{
		term: t, now: time.Now(), workers: workers, allHealthy: t.health.AllHealthy(), schedulable: make(map[string]int), ejected: make(map[string]int),
	}
	for _, w := range workers {
		if !w.Schedulable || w.HallClosed {
			continue
		}
		r.schedulable[w.Service]++
		if w.Health == health.Ejected {
			r.ejected[w.Service]++
		}
	}
	return r
}

// split returns the tasks of a group in groups of one kind each.
func (r *retryRules) split(g *plan.Group) []*plan.Group {
	tracked := r.term.jobs[g.Job.ID()]
	if r.allHealthy && len(tracked.failedHosts) == 0 && len(tracked.failedOn) == 0 {
		return []*plan.Group{g}
	}
	return r.splitByKind(g, tracked, func(id job.TaskID) retryKind { return r.kindOf(tracked, id, g.Service) })
}

// splitLongRunning returns the tasks of a long-running group in up to two groups: those that have waited for a worker that is not ejected, and the others.
func (r *retryRules) splitLongRunning(g *plan.Group) []*plan.Group {
	if r.ejected[g.Service] == 0 || g.Step.Gang {
		return []*plan.Group{g}
	}
	tracked := r.term.jobs[g.Job.ID()]
	return r.splitByKind(g, tracked, func(id job.TaskID) retryKind {
		return retryKind{acceptsEjected: r.waitedSinceRun(tracked, id)}
	})
}

// splitByKind returns the tasks of a group in groups of one kind each.
func (r *retryRules) splitByKind(g *plan.Group, tracked *trackedJob, kindOf func(job.TaskID) retryKind) []*plan.Group {
	var kinds []retryKind
	var groups []*plan.Group
	id := job.TaskID{Job: g.Job.ID(), Iteration: g.Iteration, Step: g.StepIndex}
	for _, id.Index = range g.Indexes {
		kind := kindOf(id)
		at := slices.IndexFunc(kinds, kind.equal)
		if at < 0 {
			at = len(kinds)
			kinds, groups = append(kinds, kind), append(groups, r.groupOf(g, tracked, kind))
		}
		groups[at].Indexes = append(groups[at].Indexes, id.Index)
	}
	return groups
}

// limitGang returns a gang with the workers that its last attempt allows.
func (r *retryRules) limitGang(g *plan.Group) *plan.Group {
	first := job.TaskID{Job: g.Job.ID(), Iteration: g.Iteration, Step: g.StepIndex}
	kind := r.kindOf(r.term.jobs[g.Job.ID()], first, g.Service)
	limited := *g
	limited.LastAttempt, limited.WorstHealth = kind.lastAttempt, kind.worst
	return &limited
}

// kindOf returns the kind of a waiting finite task, or of the gang of a first member.
func (r *retryRules) kindOf(tracked *trackedJob, id job.TaskID, service string) retryKind {
	kind := retryKind{restarted: len(tracked.failedHosts) > 0 && tracked.job.Task(id).Run() > 0, failedOn: tracked.failedOn[id]}
	kind.waited = r.waitedForOther(tracked, id, kind)
	if r.allHealthy || !tracked.job.OnLastAttempt(id) {
		return kind
	}
	kind.lastAttempt = true
	switch {
	case r.ejected[service] == r.schedulable[service]:
		kind.worst = health.Ejected
	case r.waitedForHealthy(tracked, id):
		kind.worst = health.Degraded
	}
	return kind
}

// waitedForOther reports whether a restarted task has waited maxExcludedWait since its latest run for a worker that is not excluded. Such a worker may never
// have the capacity.
func (r *retryRules) waitedForOther(tracked *trackedJob, id job.TaskID, kind retryKind) bool {
	if !kind.restarted && len(kind.failedOn) == 0 {
		return false
	}
	return r.waitedSinceRun(tracked, id)
}

// waitedSinceRun reports whether a waiting task has been in plans for maxExcludedWait since its latest run.
func (r *retryRules) waitedSinceRun(tracked *trackedJob, id job.TaskID) bool {
	run := tracked.job.Task(id).Run()
	waiting, known := tracked.excludedWaits[id]
	if !known || waiting.run != run {
		waiting = excludedWait{run: run, since: r.now}
		tracked.excludedWaits[id] = waiting
	}
	return r.now.Sub(waiting.since) >= maxExcludedWait
}

// waitedForHealthy reports whether a task on its last attempt has waited maxHealthyWait for a healthy worker.
func (r *retryRules) waitedForHealthy(tracked *trackedJob, id job.TaskID) bool {
	waiting, waits := tracked.lastAttempts[id]
	switch {
	case !waits:
		tracked.lastAttempts[id] = lastAttempt{since: r.now}
		return false
	case !waiting.held:
		waiting.held = true
		tracked.lastAttempts[id] = waiting
		r.term.dispatcher.config.Metrics.Counter("lead.last_attempts_held").Inc(1)
	}
	return r.now.Sub(waiting.since) >= maxHealthyWait
}

// groupOf returns a copy of a group for tasks of one kind, without tasks.
func (r *retryRules) groupOf(g *plan.Group, tracked *trackedJob, kind retryKind) *plan.Group {
	group := *g
	group.Indexes, group.LastAttempt, group.WorstHealth, group.AcceptsEjected = nil, kind.lastAttempt, kind.worst, kind.acceptsEjected
	group.Excluded = r.excluded(g, tracked, kind)
	return &group
}

// excluded returns the workers on which tasks of a kind must not start. Workers that the job avoids, and then also those on
// which runs of the tasks have failed, are allowed again if the tasks could start on no other worker or have waited for one.
func (r *retryRules) excluded(g *plan.Group, tracked *trackedJob, kind retryKind) map[job.Host]bool {
	if kind.waited {
		return nil
	}
	failed := make(map[job.Host]bool)
	for _, h := range kind.failedOn {
		failed[h] = true
	}
	if kind.restarted && r.avoidsStrictly(g.Service, tracked.failedHosts) {
		all := make(map[job.Host]bool, len(failed)+len(tracked.failedHosts))
		for h := range tracked.failedHosts {
			all[h] = true
		}
		for h := range failed {
			all[h] = true
		}
		if r.leavesWorker(g, all) {
			return all
		}
	}
	if len(failed) > 0 && r.leavesWorker(g, failed) {
		return failed
	}
	return nil
}

// avoidsStrictly reports whether a job avoids so few schedulable workers of its service that its tasks do not restart there.
func (r *retryRules) avoidsStrictly(service string, avoided map[job.Host]bool) bool {
	count := 0
	for worker := range avoided {
		if h := r.term.hosts.get(worker); h != nil && h.worker.Schedulable && !h.worker.HallClosed && h.worker.Service == service {
			count++
		}
	}
	return strictAvoidDivisor*count < r.schedulable[service]
}

// leavesWorker reports whether the tasks of a group could run on a schedulable worker outside the excluded ones.
func (r *retryRules) leavesWorker(g *plan.Group, excluded map[job.Host]bool) bool {
	return slices.ContainsFunc(r.workers, func(w *plan.Worker) bool {
		if excluded[w.Host] || !w.Schedulable || w.HallClosed || w.Service != g.Service || !g.Step.Size.Fits(w.Capacity) {
			return false
		}
		_, hasTicket := g.Tickets[w.Host]
		return (g.Tickets == nil || hasTicket) && (g.Step.Requires == "" || slices.Contains(w.Labels, g.Step.Requires))
	})
}
