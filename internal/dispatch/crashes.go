package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// recordCrashes records the ends of incarnations that an agent reports, and what crashes among them say of the tasks that ran there. It returns
// up to which number it has, and adds the jobs that must be saved before the agent may forget them.
func (t *term) recordCrashes(a *agent, r link.Report, concerned map[*trackedJob]bool) uint64 {
	latest := uint64(0)
	for _, c := range r.Crashes {
		ended := job.Host{VM: a.vm, Incarnation: c.Incarnation()}
		if ended.Incarnation.StartMillis() != 0 {
			t.completeIdentity(ended)
		}
		latest = max(latest, c.Number)
		for _, run := range c.Runs {
			t.addAffected(run.Run, concerned)
		}
		if suspects := t.suspectRuns(c); !c.Planned && !t.alreadyAttributed(suspects) {
			a.recordDisconnect(c.FirstFailureMillis)
			t.attributeCrash(a, ended.Incarnation, suspects)
		}
		t.resolveReported(a.vm, c)
		if h := t.hosts.get(ended); h != nil {
			for id, p := range h.runs {
				t.addAffected(link.NewRun(id, p.number), concerned)
			}
			t.retireIncarnation(a, h, &c, r.Incarnation(), "its agent reports its end")
		}
	}
	return latest
}

// addAffected adds the job of a run, where there is one.
func (t *term) addAffected(run link.Run, concerned map[*trackedJob]bool) {
	if known := t.jobOf(run); known != nil {
		concerned[known] = true
	}
}

// suspicionChanged takes note that something more is suspicionChanged against a task, and ends its job where that gives it up.
func (t *term) suspicionChanged(known *trackedJob, why string) {
	t.markDirty(known)
	if known.job.State() == job.Failed {
		t.logger.Warn("job is given up, since %s", why)
		t.dispatcher.config.Metrics.Counter("lead.given_up").Inc(1)
	}
	t.recordJobEnd(known)
}

const (
	// simultaneousWindow is how far apart crashes of one cause may look: agents tell to the millisecond when calls broke off, and their
	// messages take some more.
	simultaneousWindow = 100 * time.Millisecond
	// minSimultaneous is how many other workers crash at the same moment where the cause is likely in common: two that are crashed by
	// tasks of one plan do so as well.
	minSimultaneous = 2
	// minSimultaneousLosses is how many there must be for a run that was lost there to be lost by chance.
	minSimultaneousLosses = 3
)

// recordDisconnect takes note of how long ago the calls to the worker broke off, 0 where they did not.
func (a *agent) recordDisconnect(millis int64) {
	if millis > 0 {
		a.callsBrokenAt = time.Now().Add(-time.Duration(millis) * time.Millisecond)
	}
}

// simultaneousCrashes returns how many other workers broke off at the moment at which an agent's own last did.
func (t *term) simultaneousCrashes(own *agent) int {
	if own.callsBrokenAt.IsZero() {
		return 0
	}
	others := 0
	for _, a := range t.agents {
		if a != own && !a.callsBrokenAt.IsZero() && a.callsBrokenAt.Sub(own.callsBrokenAt).Abs() <= simultaneousWindow {
			others++
		}
	}
	return others
}

// suspectRun is a run that a worker had when it crashed; the runs of a gang count as one.
type suspectRun struct {
	tracked  *trackedJob
	id       job.TaskID
	run      int
	answered bool
	age      time.Duration
}

// suspectRuns returns the runs that may have crashed a worker, in order.
func (t *term) suspectRuns(c link.Crash) []suspectRun {
	byUnit := make(map[job.TaskID]suspectRun)
	for _, run := range c.Runs {
		known := t.jobOf(run.Run)
		if known == nil {
			continue
		}
		id, _ := run.TaskID()
		unit := known.job.CrashUnit(id)
		s, again := byUnit[unit]
		age := time.Duration(run.AgeMillis) * time.Millisecond
		if !again {
			s = suspectRun{tracked: known, id: id, run: run.Number, age: age}
		}
		s.answered = s.answered || run.Answered
		s.age = min(s.age, age)
		byUnit[unit] = s
	}
	found := make([]suspectRun, 0, len(byUnit))
	for _, s := range byUnit {
		found = append(found, s)
	}
	slices.SortFunc(found, func(a, b suspectRun) int { return compareTasks(a.id, b.id) })
	return found
}

// jobOf returns the job of a run, nil where there is no such task.
func (t *term) jobOf(run link.Run) *trackedJob {
	id, ok := run.TaskID()
	known := t.jobs[id.Job]
	if !ok || known == nil || known.job.Task(id) == nil {
		return nil
	}
	return known
}

// alreadyAttributed reports whether this or an earlier lead has judged a crash: some run of each crash is held responsible, and
// a crash is told again until its agent knows that it is committed.
func (t *term) alreadyAttributed(suspects []suspectRun) bool {
	return slices.ContainsFunc(suspects, func(s suspectRun) bool { return s.tracked.job.LastCrashCounted(s.id, s.run) })
}

// attributeCrash records which runs are held responsible for a crash, and gives up jobs of which a task has crashed enough.
func (t *term) attributeCrash(a *agent, id incarnation.ID, suspects []suspectRun) {
	t.dispatcher.config.Metrics.Counter("lead.worker_crashes").Inc(1)
	runs := make([]crash.Run, 0, len(suspects))
	for _, s := range suspects {
		runs = append(runs, crash.NewRun(s.answered, s.age, s.tracked.job.Suspicion(s.id)))
	}
	together, cleared := t.simultaneousCrashes(a) >= minSimultaneous, 0
	for i, finding := range crash.Attribute(runs, together) {
		s := suspects[i]
		if finding.Attribution() == crash.NotCause {
			cleared++
		}
		if !s.tracked.job.RecordCrash(s.id, s.run, finding) {
			continue
		}
		held := s.tracked.job.Suspicion(s.id)
		t.logger.Info("worker crashed under a task; task=%s run=%d vm=%s instance=%s cause=%s alone=%t age_ms=%d crashes=%d doubts=%d",
			s.id, s.run, a.vm, id, finding.Attribution(), finding.Sole(), s.age.Milliseconds(), held.LikelyCrashes(), held.PossibleCrashes())
		t.suspicionChanged(s.tracked, fmt.Sprintf("a task of it crashes its workers; task=%s crashes=%d doubts=%d", s.id, held.LikelyCrashes(), held.PossibleCrashes()))
	}
	t.logger.Info("crash judged; vm=%s instance=%s tasks=%d cleared=%d together=%t", a.vm, id, len(suspects), cleared, together)
	t.wakeUp()
}
