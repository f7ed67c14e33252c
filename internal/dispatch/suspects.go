package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// maxSuspectWait is how long a suspect waits for a worker where nothing else has just begun; then it starts as all others
	// do, so that a job never waits for the proof of its innocence for as long as callers would notice.
	maxSuspectWait = 1500 * time.Millisecond
	// reserveDivisor is the divisor of the open workers of which so many may be kept for suspects at once.
	reserveDivisor = 2
)

// recordStartupSurvival takes note that a run has outlived its start, and drops what is held against its task.
func (t *term) recordStartupSurvival(h *hostState, id job.TaskID, p *placedRun) {
	if !p.survivedStart {
		p.survivedStart, p.survivedStartAt = true, time.Now()
		t.wakeUp()
	}
	known := t.jobs[id.Job]
	if known == nil || p.step.Gang && !t.gangSurvivedStartup(known, id) {
		return
	}
	if known.job.RecordRunAge(id, p.number, crash.StartupTime+time.Since(p.survivedStartAt)) {
		t.logger.Info("task has outlived its start after a crash; task=%s run=%d vm=%s", id, p.number, h.worker.Host.VM)
		known.unsavedCheckpoints = true
	}
}

// gangSurvivedStartup reports whether all members of a gang have outlived their start: one that crashes its worker leaves the others
// alive for a while.
func (t *term) gangSurvivedStartup(known *trackedJob, member job.TaskID) bool {
	tasks := known.job.Tasks(member.Iteration, member.Step)
	for member.Index = range tasks {
		h := t.hosts.get(tasks[member.Index].Host())
		if h == nil || h.runs[member] == nil || !h.runs[member].survivedStart {
			return false
		}
	}
	return true
}

// countUnproven tells the plan which workers have runs that have not outlived their start.
func (h *hostState) countUnproven() {
	w := &h.worker
	w.Starting, w.SuspectStarting, w.ReservedForSuspect = 0, false, false
	for _, p := range h.runs {
		if !p.survivedStart {
			w.Starting++
			w.SuspectStarting = w.SuspectStarting || p.startedAlone
		}
	}
}

// reserveForSuspects keeps some open workers of each service for the suspects that wait for it, those first on which least serves: no
// other task starts there until the suspects have.
func reserveForSuspects(workers []*plan.Worker, groups []*plan.Group) {
	wanted := make(map[string]int)
	for _, g := range groups {
		if g.SuspectScore > 0 {
			wanted[g.Service] += len(g.Indexes)
		}
	}
	for service, count := range wanted {
		reserveWorkers(workers, service, count)
	}
}

// reserveWorkers keeps some open workers of a service.
func reserveWorkers(workers []*plan.Worker, service string, wanted int) {
	var open []*plan.Worker
	for _, w := range workers {
		if w.Schedulable && !w.HallClosed && !w.SuspectStarting && w.Service == service {
			open = append(open, w)
		}
	}
	slices.SortStableFunc(open, func(a, b *plan.Worker) int { return cmp.Compare(a.ServingCPU, b.ServingCPU) })
	for _, w := range open[:min(wanted, len(open)/reserveDivisor)] {
		w.ReservedForSuspect = true
	}
}

// splitSuspects returns the waiting tasks of a step that may start beside others, and those that are to start alone, with how
// much is held against these.
func (k *trackedJob) splitSuspects(id job.TaskID, waiting []int, now time.Time) (others, suspects []int, weight int) {
	for _, id.Index = range waiting {
		held := k.job.Suspicion(id)
		if !held.Suspect() || !k.waitsForOwnWorker(id, now) {
			others = append(others, id.Index)
			continue
		}
		suspects, weight = append(suspects, id.Index), max(weight, held.Score())
	}
	return others, suspects, weight
}

// waitsForOwnWorker reports whether a suspect still waits for a worker of its own.
func (k *trackedJob) waitsForOwnWorker(id job.TaskID, now time.Time) bool {
	since, waits := k.suspectedSince[id]
	if !waits {
		k.suspectedSince[id] = now
		return true
	}
	return now.Sub(since) < maxSuspectWait
}
