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

// takeCrashes records the ends of incarnations that an agent reports, and what crashes among them say of the tasks that ran there. It returns
// up to which number it has, and adds the jobs that must be saved before the agent may forget them.
func (t *term) takeCrashes(a *agent, r link.Report, concerned map[*tracked]bool) uint64 {
	latest := uint64(0)
	for _, c := range r.Crashes {
		ended := job.Host{VM: a.vm, Incarnation: c.Incarnation()}
		if ended.Incarnation.Born() != 0 {
			t.identify(ended)
		}
		latest = max(latest, c.Number)
		for _, run := range c.Runs {
			t.concern(run.Run, concerned)
		}
		if suspects := t.suspectsOf(c); !c.Planned && !t.judgedBefore(suspects) {
			a.noteBroken(c.BrokenMillis)
			t.judgeCrash(a, ended.Incarnation, suspects)
		}
		t.settleTold(a.vm, c)
		if h := t.hosts.get(ended); h != nil {
			for id, p := range h.runs {
				t.concern(link.NewRun(id, p.run), concerned)
			}
			t.retire(a, h, &c, r.Incarnation(), "its agent reports its end")
		}
	}
	return latest
}

// concern adds the job of a run, where there is one.
func (t *term) concern(run link.Run, concerned map[*tracked]bool) {
	if known := t.jobOf(run); known != nil {
		concerned[known] = true
	}
}

// held takes note that something more is held against a task, and ends its job where that gives it up.
func (t *term) held(known *tracked, why string) {
	t.touch(known)
	if known.job.State() == job.Failed {
		t.logger.Warn("job is given up, since %s", why)
		t.d.config.Metrics.Counter("lead.given_up").Inc(1)
	}
	t.conclude(known)
}

const (
	// sameMoment is how far apart crashes of one cause may look: agents tell to the millisecond when calls broke off, and their
	// messages take some more.
	sameMoment = 100 * time.Millisecond
	// leastOthers is how many other workers crash at the same moment where the cause is likely in common: two that are crashed by
	// tasks of one plan do so as well.
	leastOthers = 2
	// manyOthers is how many there must be for a run that was lost there to be lost by chance.
	manyOthers = 3
)

// noteBroken takes note of how long ago the calls to the worker broke off, 0 where they did not.
func (a *agent) noteBroken(millis int64) {
	if millis > 0 {
		a.broken = time.Now().Add(-time.Duration(millis) * time.Millisecond)
	}
}

// crashedWith returns how many other workers broke off at the moment at which an agent's own last did.
func (t *term) crashedWith(own *agent) int {
	if own.broken.IsZero() {
		return 0
	}
	others := 0
	for _, a := range t.agents {
		if a != own && !a.broken.IsZero() && a.broken.Sub(own.broken).Abs() <= sameMoment {
			others++
		}
	}
	return others
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

// judgeCrash records which runs are held responsible for a crash, and gives up jobs of which a task has crashed enough.
func (t *term) judgeCrash(a *agent, id incarnation.ID, suspects []suspected) {
	t.d.config.Metrics.Counter("lead.worker_crashes").Inc(1)
	runs := make([]crash.Run, 0, len(suspects))
	for _, s := range suspects {
		runs = append(runs, crash.NewRun(s.answered, s.age, s.known.job.Suspicion(s.id)))
	}
	together, cleared := t.crashedWith(a) >= leastOthers, 0
	for i, finding := range crash.Judge(runs, together) {
		s := suspects[i]
		if finding.Blame() == crash.Cleared {
			cleared++
		}
		if !s.known.job.Crashed(s.id, s.run, finding) {
			continue
		}
		held := s.known.job.Suspicion(s.id)
		t.logger.Info("worker crashed under a task; task=%s run=%d vm=%s instance=%s cause=%s alone=%t age_ms=%d crashes=%d doubts=%d",
			s.id, s.run, a.vm, id, finding.Blame(), finding.Alone(), s.age.Milliseconds(), held.Crashes(), held.Doubts())
		t.held(s.known, fmt.Sprintf("a task of it crashes its workers; task=%s crashes=%d doubts=%d", s.id, held.Crashes(), held.Doubts()))
	}
	t.logger.Info("crash judged; vm=%s instance=%s tasks=%d cleared=%d together=%t", a.vm, id, len(suspects), cleared, together)
	t.wakeUp()
}
