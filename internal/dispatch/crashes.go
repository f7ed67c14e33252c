package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

const (
	// suspectPatience is how long a suspect waits for a worker where nothing else has just begun; then it starts as all others
	// do, so that a job never waits for the proof of its innocence for as long as callers would notice.
	suspectPatience = 1500 * time.Millisecond
	// keptShare is the divisor of the open workers of which so many may be kept for suspects at once.
	keptShare = 2
)

// takeCrashes takes note of what the crashes that an agent tells of say of the tasks that ran there. It returns up to which
// number it has, and adds the jobs that must be saved before the agent may forget them.
func (t *term) takeCrashes(vm string, told []link.Crash, needed map[*tracked]uint64) uint64 {
	latest := uint64(0)
	for _, c := range told {
		latest = max(latest, c.Number)
		if suspects := t.suspectsOf(c); !t.judgedBefore(suspects) {
			t.judgeCrash(vm, c.Instance, suspects)
		}
		for _, run := range c.Runs {
			if known := t.jobOf(run.Run); known != nil {
				needed[known] = known.version
			}
		}
	}
	return latest
}

// suspected is a run that a worker had when it crashed; the runs of a gang count as one.
type suspected struct {
	known    *tracked
	id       job.TaskID
	run      int
	answered bool
	age      time.Duration
}

// suspectsOf returns the runs that may have crashed a worker, in order.
func (t *term) suspectsOf(c link.Crash) []suspected {
	byUnit := make(map[job.TaskID]suspected)
	for _, run := range c.Runs {
		known := t.jobOf(run.Run)
		if known == nil {
			continue
		}
		id, _ := run.TaskID()
		unit := known.job.Unit(id)
		s, again := byUnit[unit]
		age := time.Duration(run.AgeMillis) * time.Millisecond
		if !again {
			s = suspected{known: known, id: id, run: run.Number, age: age}
		}
		s.answered = s.answered || run.Answered
		s.age = min(s.age, age)
		byUnit[unit] = s
	}
	found := make([]suspected, 0, len(byUnit))
	for _, s := range byUnit {
		found = append(found, s)
	}
	slices.SortFunc(found, func(a, b suspected) int { return compareTasks(a.id, b.id) })
	return found
}

// jobOf returns the job of a run, nil where there is no such task.
func (t *term) jobOf(run link.Run) *tracked {
	id, ok := run.TaskID()
	known := t.jobs[id.Job]
	if !ok || known == nil || known.job.Task(id) == nil {
		return nil
	}
	return known
}

// judgedBefore reports whether this or an earlier lead has judged a crash: some run of each crash is held responsible, and
// a crash is told again until its agent knows that it is committed.
func (t *term) judgedBefore(suspects []suspected) bool {
	return slices.ContainsFunc(suspects, func(s suspected) bool { return s.known.job.Judged(s.id, s.run) })
}

// judgeCrash takes note of who is held responsible for a crash, and gives up jobs of which a task has crashed enough.
func (t *term) judgeCrash(vm, instance string, suspects []suspected) {
	t.d.config.Metrics.Counter("lead.worker_crashes").Inc(1)
	runs := make([]crash.Run, 0, len(suspects))
	for _, s := range suspects {
		runs = append(runs, crash.NewRun(s.answered, s.age, s.known.job.Suspicion(s.id)))
	}
	for i, finding := range crash.Judge(runs) {
		s := suspects[i]
		if !s.known.job.Crashed(s.id, s.run, finding) {
			continue
		}
		held := s.known.job.Suspicion(s.id)
		t.logger.Info("worker crashed under a task; task=%s run=%d vm=%s instance=%s cause=%s alone=%t age_ms=%d crashes=%d doubts=%d",
			s.id, s.run, vm, instance, finding.Blame(), finding.Alone(), s.age.Milliseconds(), held.Crashes(), held.Doubts())
		t.touch(s.known)
		if s.known.job.State() == job.Failed {
			t.logger.Warn("job is given up, since a task of it crashes its workers; task=%s crashes=%d doubts=%d",
				s.id, held.Crashes(), held.Doubts())
			t.d.config.Metrics.Counter("lead.given_up").Inc(1)
		}
		t.conclude(s.known)
	}
	t.wakeUp()
}

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
		h := t.hosts[tasks[member.Index].Host()]
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

// keepForSuspects keeps some open workers for the suspects that wait, those first on which least serves: no other task starts
// there until the suspects have.
func keepForSuspects(workers []*plan.Worker, groups []*plan.Group) {
	wanted := 0
	for _, g := range groups {
		if g.Suspect > 0 {
			wanted += len(g.Indexes)
		}
	}
	if wanted == 0 {
		return
	}
	var open []*plan.Worker
	for _, w := range workers {
		if w.Open && !w.Closed && !w.Reserved {
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
