package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// maxSuspectWait is how long a suspect waits for a worker without other starting tasks; then it starts like any other
	// task, so that callers do not notice the delay.
	maxSuspectWait = 1500 * time.Millisecond
	// reserveDivisor is the divisor of the number of schedulable workers that gives how many may be reserved for suspects at
	// once.
	reserveDivisor = 2
)

// recordStartupSurvival records that a run has survived its startup time, which clears part of its task's crash history.
func (t *term) recordStartupSurvival(h *hostState, id job.TaskID, p *placedRun) {
	if !p.survivedStart {
		p.survivedStart, p.survivedStartAt = true, time.Now()
		t.observeStart(h)
		t.notifyChange()
	}
	tracked := t.jobs[id.Job]
	if tracked == nil || p.step.Gang && !t.gangSurvivedStartup(tracked, id) {
		return
	}
	if tracked.job.RecordRunAge(id, p.number, crash.StartupTime+time.Since(p.survivedStartAt)) {
		t.logger.Info("suspect task survived its startup; task=%s run=%d vm=%s", id, p.number, h.worker.Host.VM)
		tracked.unsavedCheckpoints = true
	}
}

// gangSurvivedStartup reports whether all members of a gang have survived their startup: a member that crashes its worker
// leaves the others running for a while.
func (t *term) gangSurvivedStartup(tracked *trackedJob, member job.TaskID) bool {
	tasks := tracked.job.Tasks(member.Iteration, member.Step)
	for member.Index = range tasks {
		h := t.hosts.get(tasks[member.Index].Host())
		if h == nil || h.runs[member] == nil || !h.runs[member].survivedStart {
			return false
		}
	}
	return true
}

// countStarting counts the runs on the worker that have not survived their startup, and clears its reservation for suspects.
func (h *hostState) countStarting() {
	w := &h.worker
	w.Starting, w.SuspectStarting, w.ReservedForSuspect = 0, false, false
	for _, p := range h.runs {
		if !p.survivedStart {
			w.Starting++
			w.SuspectStarting = w.SuspectStarting || p.startedAlone
		}
	}
}

// reserveForSuspects reserves some schedulable workers of each service for its waiting suspects, those with the least
// serving CPU first: no other task starts there before the suspects.
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

// reserveWorkers reserves some schedulable workers of a service for suspects.
func reserveWorkers(workers []*plan.Worker, service string, wanted int) {
	var candidates []*plan.Worker
	for _, w := range workers {
		if w.Schedulable && !w.HallClosed && !w.SuspectStarting && w.Health != health.Ejected && w.Service == service {
			candidates = append(candidates, w)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *plan.Worker) int { return cmp.Compare(a.ServingCPU, b.ServingCPU) })
	for _, w := range candidates[:min(wanted, len(candidates)/reserveDivisor)] {
		w.ReservedForSuspect = true
	}
}

// splitSuspects returns the waiting tasks of a step that may start together with others, and the suspects that start alone
// with their highest suspicion score.
func (j *trackedJob) splitSuspects(id job.TaskID, waiting []int, now time.Time) (others, suspects []int, score int) {
	for _, id.Index = range waiting {
		suspicion := j.job.CrashHistory(id)
		if !suspicion.Suspect() || !j.waitsForOwnWorker(id, now) {
			others = append(others, id.Index)
			continue
		}
		suspects, score = append(suspects, id.Index), max(score, suspicion.Score())
	}
	return others, suspects, score
}

// waitsForOwnWorker reports whether a suspect still waits for a worker without other starting tasks, for at most maxSuspectWait.
func (j *trackedJob) waitsForOwnWorker(id job.TaskID, now time.Time) bool {
	since, waits := j.suspectedSince[id]
	if !waits {
		j.suspectedSince[id] = now
		return true
	}
	return now.Sub(since) < maxSuspectWait
}
