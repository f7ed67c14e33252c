package dispatch

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/link"
)

// crashOutcome is what becomes of the word that a worker crashed under a task.
type crashOutcome int

const (
	// crashReported reaches the lead with the worker's next life.
	crashReported crashOutcome = iota
	// agentLost is the agent gone with its worker; the next agent reports the next life and knows of no other.
	agentLost
	// leaderReplaced is the lead replaced before it commits what it was told; the agent tells the next one.
	leaderReplaced
	// agentLostLeaderReplaced is the agent gone, and the lead replaced before it hears of the next life.
	agentLostLeaderReplaced
	// crashReportedLate is the agent held up until its permission is over and the task has crashed its next worker.
	crashReportedLate
	// vmLost is the VM gone for good.
	vmLost
	crashOutcomes
)

func (f crashOutcome) String() string {
	return [...]string{"told", "agent-killed", "lead-killed", "both-killed", "told-late", "vm-gone"}[f]
}

// crashPattern is how a task crashes its workers: after which time, whether beside work that has just begun each time, and whether others
// crash at the same moment each time.
type crashPattern struct {
	name                            string
	runtime                         time.Duration
	besideNewTask, withOtherCrashes bool
}

const (
	// maxStarts is how often work that crashes its workers may start: the platform counts the third start after the third crash.
	maxStarts = 5
	// maxStartsUnseen is the same where nobody can know that its workers crashed: their VMs were gone for good, as by a cut.
	maxStartsUnseen = 8
	// minKnownCrashes is how many workers must be known to have crashed under a task before its job may be given up.
	minKnownCrashes = 2
)

// longTaskReportInterval is how often the agent of a task that lives for long reports.
const longTaskReportInterval = 600 * time.Millisecond

// crashSequence is one order of deaths and of lost words while a task crashes each worker that starts it.
type crashSequence struct {
	*crashStorm
	pattern     crashPattern
	task        link.Run
	vmCount     int
	startCount  int
	outcomes    []crashOutcome
	lateWorkers []*stormWorker
	otherAgents [2]*fakeAgent
}

// TestStartsOfTaskThatCrashesWorkersAreBounded plays what the callers saw: a task was started again on each worker that it
// had just crashed, since a crash counted only where its agent lived to tell it, where the lead had committed it before the next,
// and where nothing else explained it.
//
// Cause: the bound hung on a witness and on its word. An agent that died with its worker took the word along, and what a task had lived
// for, or what had begun beside it, cleared it each time; nothing counted that its runs were lost with their workers, one after the
// other. Evidence: on the code as it was, each of the seven ways came to a sixth start, four of them with every crash told.
//
// All orders of what may become of the word of each crash are played, each with work that takes 10 ms to 6 s to crash its worker, beside
// work that begins all the time, or with other workers at the same moment. What follows from a state that another passage came to is
// played once, or each time where ALL_PASSAGES is set.
func TestStartsOfTaskThatCrashesWorkersAreBounded(t *testing.T) {
	every := os.Getenv("ALL_PASSAGES") != ""
	for _, w := range []crashPattern{
		{name: "at_once", runtime: 10 * time.Millisecond},
		{name: "at_once_with_others", runtime: 10 * time.Millisecond, withOtherCrashes: true},
		{name: "soon_beside_new_work", runtime: 300 * time.Millisecond, besideNewTask: true},
		{name: "soon_with_others", runtime: 300 * time.Millisecond, withOtherCrashes: true},
		{name: "late", runtime: 3 * time.Second},
		{name: "late_beside_new_work", runtime: 3 * time.Second, besideNewTask: true},
		{name: "very_late", runtime: 6 * time.Second, besideNewTask: true},
	} {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			played, met := 0, make(map[string]bool)
			if every {
				met = nil
			}
			for choices, more := []crashOutcome(nil), true; more; choices, more = nextOutcomes(choices) {
				synctest.Test(t, func(t *testing.T) { choices = runCrashSequence(t, w, choices, met) })
				played++
				if t.Failed() {
					break
				}
			}
			t.Logf("%d passages", played)
		})
	}
}

// nextOutcomes returns the next choices in order, as far as the last passage made any, false after the last.
func nextOutcomes(choices []crashOutcome) ([]crashOutcome, bool) {
	for len(choices) > 0 {
		last := len(choices) - 1
		if choices[last]++; choices[last] < crashOutcomes {
			return choices, true
		}
		choices = choices[:last]
	}
	return nil, false
}

// runCrashSequence plays a passage that begins with some fates, until it comes to a state that was met, and returns all that it chose.
func runCrashSequence(t *testing.T, w crashPattern, choices []crashOutcome, met map[string]bool) []crashOutcome {
	t.Helper()
	p := &crashSequence{crashStorm: newCrashStorm(t, 1, 0), pattern: w}
	for i := range p.otherAgents {
		p.otherAgents[i] = &fakeAgent{vm: fmt.Sprintf("strange%d", i)}
	}
	id := p.submitStep(job.Step{Count: 1, Size: job.Size{CPU: 500, Memory: 100}, Estimate: stormTaskTime, LongRunning: w.runtime > stormTaskTime})
	p.task = link.NewRun(job.TaskID{Job: id}, 0)
	here := p.newWorker()
	for {
		if !p.awaitStart(here) {
			return p.outcomes
		}
		p.startCount++
		if p.startCount > p.allowedStarts() {
			t.Errorf("%s: started %d times; %s", w.name, p.startCount, p)
			return p.outcomes
		}
		p.runUntilCrash(here)
		next := crashReported
		if len(p.outcomes) < len(choices) {
			next = choices[len(p.outcomes)]
		}
		p.outcomes = append(p.outcomes, next)
		here = p.crashAndReport(here, next)
		if len(p.outcomes) < len(choices) {
			continue
		}
		state := p.stateKey()
		if met[state] {
			return p.outcomes
		}
		if met != nil {
			met[state] = true
		}
	}
}

// stateKey tells apart what may follow: what is held against the task and what of that is still open.
func (p *crashSequence) stateKey() string {
	id, _ := p.task.TaskID()
	j := p.leader.jobs[id.Job].job
	return fmt.Sprint(p.startCount, j.Task(id).Run(), j.Suspicion(id), j.State(), len(p.leader.unreachable), len(p.lateWorkers), p.knownCrashes(), p.leader.suspicionSummary())
}

// suspicionSummary returns how much is held against other tasks.
func (t *term) suspicionSummary() (held []string) {
	for name, known := range t.jobs {
		held = append(held, fmt.Sprint(name, known.job.Suspicion(job.TaskID{Job: name})))
	}
	slices.Sort(held)
	return held
}

func (p *crashSequence) String() string {
	var names []string
	for _, f := range p.outcomes {
		names = append(names, f.String())
	}
	return strings.Join(names, " ")
}

// allowedStarts returns how often the task may start after what became of it so far.
func (p *crashSequence) allowedStarts() int {
	if p.knownCrashes() < minKnownCrashes {
		return maxStartsUnseen
	}
	return maxStarts
}

// knownCrashes returns how many of its workers are knownCrashes to have crashed so far.
func (p *crashSequence) knownCrashes() int {
	known := 0
	for i, f := range p.outcomes {
		if f != vmLost && (f != crashReportedLate || i < len(p.outcomes)-1) {
			known++
		}
	}
	return known
}

// newWorker adds a worker on a VM of its own.
func (p *crashSequence) newWorker() *stormWorker {
	p.vmCount++
	return &stormWorker{agent: &fakeAgent{vm: fmt.Sprintf("vm%02d", p.vmCount)}, running: make(map[link.Run]*stormRun)}
}

// awaitStart lets the lead work until it has started the task on a worker, false where its job has ended.
func (p *crashSequence) awaitStart(w *stormWorker) bool {
	const patience = 15 * time.Second
	for began := time.Now(); time.Since(began) < patience; time.Sleep(stormReportInterval) {
		assert.NilError(p.t, p.leader.closures.Load(p.t.Context()))
		p.report(w)
		id, _ := p.task.TaskID()
		if p.leader.jobs[id.Job].job.State().IsFinal() {
			return false
		}
		p.deliver(w)
		for run := range w.running {
			if run.Task == p.task.Task {
				return true
			}
		}
	}
	p.t.Fatalf("%s: the task neither starts nor is given up after %s", p.pattern.name, p)
	return false
}

// runUntilCrash lets the task run until it crashes its worker, beside a task that has just begun then where its way says so.
func (p *crashSequence) runUntilCrash(w *stormWorker) {
	const fresh = 10 * time.Millisecond
	for began := time.Now(); time.Since(began) < p.pattern.runtime-fresh; {
		time.Sleep(min(longTaskReportInterval, p.pattern.runtime-fresh-time.Since(began)))
		assert.NilError(p.t, p.leader.closures.Load(p.t.Context()))
		p.report(w)
	}
	if p.pattern.besideNewTask {
		other := p.submitStep(job.Step{Count: 1, Size: job.Size{CPU: 500, Memory: 100}, Estimate: stormTaskTime})
		p.report(w)
		p.deliver(w)
		for run, had := range w.running {
			had.answered = true
			if run.Task == (job.TaskID{Job: other}).String() {
				had.startedAt = time.Now()
			}
		}
	}
	time.Sleep(fresh)
}

// crashAndReport crashes a worker and plays what becomes of the word of it; it returns where the task may start next.
func (p *crashSequence) crashAndReport(w *stormWorker, f crashOutcome) *stormWorker {
	p.crash(w)
	if p.pattern.withOtherCrashes {
		p.reportOtherBrokenCalls()
	}
	// What lay beside the task starts anew after the crash, and is not to be counted with it.
	time.Sleep(stormDowntime)
	switch f {
	case crashReported:
		p.report(w)
	case agentLost:
		w.crashReports = nil
		p.report(w)
	case leaderReplaced:
		p.reportUncommitted(w)
		p.elect(fmt.Sprintf("e%d", len(p.outcomes)))
		p.report(w)
	case agentLostLeaderReplaced:
		w.crashReports = nil
		p.elect(fmt.Sprintf("e%d", len(p.outcomes)))
		p.report(w)
	case crashReportedLate:
		time.Sleep(agentLease)
		defer func(held *stormWorker) { p.lateWorkers = append(p.lateWorkers, held) }(w)
		w = p.newWorker()
	case vmLost:
		time.Sleep(agentLease)
		w = p.newWorker()
	}
	for _, held := range p.lateWorkers {
		p.report(held)
	}
	p.lateWorkers = nil
	return w
}

// reportOtherBrokenCalls tells the lead that calls to two other workers broke off at this moment.
func (p *crashSequence) reportOtherBrokenCalls() {
	for _, a := range p.otherAgents {
		_, err := p.leader.report(fakeSession{a}, link.Report{VM: a.vm, Epoch: p.leader.epoch, FirstFailureMillis: 1})
		assert.NilError(p.t, err)
	}
}

// reportUncommitted tells the lead what the worker has, and lets it commit nothing of it.
func (p *crashSequence) reportUncommitted(w *stormWorker) {
	answered := make(chan link.ReportAnswer, 1)
	r := w.reportTo(p.leader)
	go func() {
		answer, _ := p.leader.report(fakeSession{w.agent}, r)
		answered <- answer
	}()
	answer := <-answered
	assert.Equal(p.t, answer.AcknowledgedCrashes, uint64(0), "nothing is committed")
}
