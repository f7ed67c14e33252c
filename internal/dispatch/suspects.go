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
	// suspectPatience is how long a suspect waits for a worker where nothing else has just begun; then it starts as all others
	// do, so that a job never waits for the proof of its innocence for as long as callers would notice.
	suspectPatience = 1500 * time.Millisecond
	// keptShare is the divisor of the open workers of which so many may be kept for suspects at once.
	keptShare = 2
)

// outlive takes note that a run has outlived its start, and drops what is held against its task.
func (t *term) outlive(h *hosted, id job.TaskID, p *placed) {
	if !p.proved {
		p.proved, p.provedAt = true, time.Now()
		t.wakeUp()
	}
	known := t.jobs[id.Job]
	if known == nil || p.step.Gang && !t.gangProved(known, id) {
		return
	}
	if known.job.Outlived(id, p.run, crash.Soon+time.Since(p.provedAt)) {
		t.logger.Info("task has outlived its start after a crash; task=%s run=%d vm=%s", id, p.run, h.worker.Host.VM)
		known.unsaved = true
	}
}

// gangProved reports whether all members of a gang have outlived their start: one that crashes its worker leaves the others
// alive for a while.
func (t *term) gangProved(known *tracked, member job.TaskID) bool {
	tasks := known.job.Tasks(member.Time, member.Step)
	for member.Index = range tasks {
		h := t.hosts.get(tasks[member.Index].Host())
		if h == nil || h.runs[member] == nil || !h.runs[member].proved {
			return false
		}
	}
	return true
}

// noteProofs tells the plan which workers have runs that have not outlived their start.
func (h *hosted) noteProofs() {
	w := &h.worker
	w.Unproven, w.Reserved, w.Kept = 0, false, false
	for _, p := range h.runs {
		if !p.proved {
			w.Unproven++
			w.Reserved = w.Reserved || p.suspect
		}
	}
}

// keepForSuspects keeps some open workers of each service for the suspects that wait for it, those first on which least serves: no
// other task starts there until the suspects have.
func keepForSuspects(workers []*plan.Worker, groups []*plan.Group) {
	wanted := make(map[string]int)
	for _, g := range groups {
		if g.Suspect > 0 {
			wanted[g.Service] += len(g.Indexes)
		}
	}
	for service, count := range wanted {
		keepWorkers(workers, service, count)
	}
}

// keepWorkers keeps some open workers of a service.
func keepWorkers(workers []*plan.Worker, service string, wanted int) {
	var open []*plan.Worker
	for _, w := range workers {
		if w.Open && !w.Closed && !w.Reserved && w.Service == service {
			open = append(open, w)
		}
	}
	slices.SortStableFunc(open, func(a, b *plan.Worker) int { return cmp.Compare(a.Serving, b.Serving) })
	for _, w := range open[:min(wanted, len(open)/keptShare)] {
		w.Kept = true
	}
}

// splitSuspects returns the waiting tasks of a step that may start beside others, and those that are to start alone, with how
// much is held against these.
func (k *tracked) splitSuspects(id job.TaskID, waiting []int, now time.Time) (others, suspects []int, weight int) {
	for _, id.Index = range waiting {
		held := k.job.Suspicion(id)
		if !held.Suspect() || !k.waitsAlone(id, now) {
			others = append(others, id.Index)
			continue
		}
		suspects, weight = append(suspects, id.Index), max(weight, held.Weight())
	}
	return others, suspects, weight
}

// waitsAlone reports whether a suspect still waits for a worker of its own.
func (k *tracked) waitsAlone(id job.TaskID, now time.Time) bool {
	since, waits := k.suspects[id]
	if !waits {
		k.suspects[id] = now
		return true
	}
	return now.Sub(since) < suspectPatience
}
