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

// recordCrashes records the incarnations whose end an agent reports, and attributes the crashes among them to runs. It
// returns the number of the latest one and adds to affected the jobs that must be saved before the agent may discard them.
func (t *term) recordCrashes(a *agent, r link.Report, affected map[*trackedJob]bool) uint64 {
	latest := uint64(0)
	for _, c := range r.Crashes {
		host := job.Host{VM: a.vm, Incarnation: c.Incarnation()}
		if host.Incarnation.StartMillis() != 0 {
			t.completeIdentity(host)
		}
		latest = max(latest, c.Number)
		for _, run := range c.Runs {
			t.addAffected(run.Run, affected)
		}
		if suspects := t.suspectRuns(c); !c.Planned && !t.alreadyAttributed(suspects) {
			a.recordFirstFailure(c.FirstFailureMillis)
			t.attributeCrash(a, host.Incarnation, suspects)
		}
		t.resolveReported(a.vm, c)
		if h := t.hosts.get(host); h != nil {
			for id, p := range h.runs {
				t.addAffected(link.NewRun(id, p.number), affected)
			}
			t.retireIncarnation(a, h, &c, r, "its agent reported its end")
		}
	}
	return latest
}

// addAffected adds the job of a run if the job is tracked.
func (t *term) addAffected(run link.Run, affected map[*trackedJob]bool) {
	if tracked := t.jobOf(run); tracked != nil {
		affected[tracked] = true
	}
}

// crashHistoryChanged marks a job for commit after the crash history of a task changed, and ends the job if that gave it up.
func (t *term) crashHistoryChanged(tracked *trackedJob, reason string) {
	t.markDirty(tracked)
	if tracked.job.State() == job.Failed {
		t.logger.Warn("job given up: %s", reason)
		t.dispatcher.config.Metrics.Counter("lead.given_up").Inc(1)
	}
	t.recordJobEnd(tracked)
}

const (
	// simultaneousWindow is the greatest time between two crashes that count as simultaneous: agents report the first failed
	// call to the millisecond, and message delays add to it.
	simultaneousWindow = 100 * time.Millisecond
	// minSimultaneous is the least number of other workers that must crash simultaneously for a likely common cause; one is
	// not enough, since tasks placed by one plan can crash two workers simultaneously.
	minSimultaneous = 2
	// minSimultaneousLosses is the least number of other workers that must crash simultaneously for a lost run to count as
	// lost by chance.
	minSimultaneousLosses = 3
)

// recordFirstFailure records when the agent's calls to the worker first failed, given as milliseconds before now; 0 stands
// for no failure.
func (a *agent) recordFirstFailure(millis int64) {
	if millis > 0 {
		a.firstFailure = time.Now().Add(-time.Duration(millis) * time.Millisecond)
	}
}

// simultaneousCrashes returns the number of other workers to which calls began to fail simultaneously with those to an agent's worker.
func (t *term) simultaneousCrashes(own *agent) int {
	if own.firstFailure.IsZero() {
		return 0
	}
	others := 0
	for _, a := range t.agents {
		if a != own && !a.firstFailure.IsZero() && a.firstFailure.Sub(own.firstFailure).Abs() <= simultaneousWindow {
			others++
		}
	}
	return others
}

// suspectRun is a run that a worker had when it crashed; the runs of one gang count as one.
type suspectRun struct {
	tracked  *trackedJob
	id       job.TaskID
	run      int
	answered bool
	age      time.Duration
}

// suspectRuns returns the runs that may have crashed a worker, ordered by task.
func (t *term) suspectRuns(c link.Crash) []suspectRun {
	byUnit := make(map[job.TaskID]suspectRun)
	for _, run := range c.Runs {
		tracked := t.jobOf(run.Run)
		if tracked == nil {
			continue
		}
		id, _ := run.TaskID()
		unitID := tracked.job.Unit(id)
		s, seen := byUnit[unitID]
		age := time.Duration(run.AgeMillis) * time.Millisecond
		if !seen {
			s = suspectRun{tracked: tracked, id: id, run: run.Number, age: age}
		}
		s.answered = s.answered || run.Answered
		s.age = min(s.age, age)
		byUnit[unitID] = s
	}
	suspects := make([]suspectRun, 0, len(byUnit))
	for _, s := range byUnit {
		suspects = append(suspects, s)
	}
	slices.SortFunc(suspects, func(a, b suspectRun) int { return compareTasks(a.id, b.id) })
	return suspects
}

// jobOf returns the job of a run, nil if there is no such task.
func (t *term) jobOf(run link.Run) *trackedJob {
	id, ok := run.TaskID()
	tracked := t.jobs[id.Job]
	if !ok || tracked == nil || tracked.job.Task(id) == nil {
		return nil
	}
	return tracked
}

// alreadyAttributed reports whether this or a previous leader has attributed a crash: each crash is counted for at least
// one of its runs, and agents repeat a crash report until they learn that it is committed.
func (t *term) alreadyAttributed(suspects []suspectRun) bool {
	return slices.ContainsFunc(suspects, func(s suspectRun) bool { return s.tracked.job.LastCrashCounted(s.id, s.run) })
}

// attributeCrash records which runs are likely or possible causes of a crash, and gives up jobs with a task that has
// crashed too often.
func (t *term) attributeCrash(a *agent, id incarnation.ID, suspects []suspectRun) {
	t.dispatcher.config.Metrics.Counter("lead.worker_crashes").Inc(1)
	runs := make([]crash.Run, 0, len(suspects))
	for _, s := range suspects {
		runs = append(runs, crash.NewRun(s.answered, s.age, s.tracked.job.CrashHistory(s.id)))
	}
	simultaneous, cleared := t.simultaneousCrashes(a) >= minSimultaneous, 0
	for i, finding := range crash.Attribute(runs, simultaneous) {
		s := suspects[i]
		if finding.Attribution() == crash.NotCause {
			cleared++
		}
		if !s.tracked.job.RecordCrash(s.id, s.run, finding) {
			continue
		}
		history := s.tracked.job.CrashHistory(s.id)
		t.logger.Info("worker crashed while running a task; task=%s run=%d vm=%s instance=%s cause=%s alone=%t age_ms=%d crashes=%d doubts=%d",
			s.id, s.run, a.vm, id, finding.Attribution(), finding.Sole(), s.age.Milliseconds(), history.LikelyCrashes(), history.PossibleCrashes())
		t.crashHistoryChanged(s.tracked, fmt.Sprintf("one of its tasks crashes its workers; task=%s crashes=%d doubts=%d", s.id, history.LikelyCrashes(), history.PossibleCrashes()))
	}
	t.logger.Info("crash attributed; vm=%s instance=%s tasks=%d cleared=%d together=%t", a.vm, id, len(suspects), cleared, simultaneous)
	t.notifyChange()
}
