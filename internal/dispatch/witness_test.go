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

// fate is what becomes of the word that a worker crashed under a task.
type fate int

const (
	// told reaches the lead with the worker's next life.
	told fate = iota
	// agentKilled is the agent gone with its worker; the next agent reports the next life and knows of no other.
	agentKilled
	// leadKilled is the lead replaced before it commits what it was told; the agent tells the next one.
	leadKilled
	// bothKilled is the agent gone, and the lead replaced before it hears of the next life.
	bothKilled
	// toldLate is the agent held up until its permission is over and the task has crashed its next worker.
	toldLate
	// vmGone is the VM gone for good.
	vmGone
	fates
)

func (f fate) String() string {
	return [...]string{"told", "agent-killed", "lead-killed", "both-killed", "told-late", "vm-gone"}[f]
}

// way is how a task crashes its workers: after which time, whether beside work that has just begun each time, and whether others
// crash at the same moment each time.
type way struct {
	name             string
	age              time.Duration
	beside, together bool
}

const (
	// mostStarts is how often work that crashes its workers may start: the platform counts the third start after the third crash.
	mostStarts = 5
	// mostUnseen is the same where nobody can know that its workers crashed: their VMs were gone for good, as by a cut.
	mostUnseen = 8
	// leastKnown is how many workers must be known to have crashed under a task before its job may be given up.
	leastKnown = 2
)

// reportStep is how often the agent of a task that lives for long reports.
const reportStep = 600 * time.Millisecond

// passage is one order of deaths and of lost words while a task crashes each worker that starts it.
type passage struct {
	*storm
	way     way
	task    link.Run
	vms     int
	starts  int
	fates   []fate
	late    []*stormWorker
	strange [2]*fakeAgent
}

// TestNoPassageStartsWorkThatCrashesItsWorkersWithoutBound plays what the callers saw: a task was started again on each worker that it
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
func TestNoPassageStartsWorkThatCrashesItsWorkersWithoutBound(t *testing.T) {
	every := os.Getenv("ALL_PASSAGES") != ""
	for _, w := range []way{
		{name: "at_once", age: 10 * time.Millisecond},
		{name: "at_once_with_others", age: 10 * time.Millisecond, together: true},
		{name: "soon_beside_new_work", age: 300 * time.Millisecond, beside: true},
		{name: "soon_with_others", age: 300 * time.Millisecond, together: true},
		{name: "late", age: 3 * time.Second},
		{name: "late_beside_new_work", age: 3 * time.Second, beside: true},
		{name: "very_late", age: 6 * time.Second, beside: true},
	} {
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			played, met := 0, make(map[string]bool)
			if every {
				met = nil
			}
			for choices, more := []fate(nil), true; more; choices, more = following(choices) {
				synctest.Test(t, func(t *testing.T) { choices = playPassage(t, w, choices, met) })
				played++
				if t.Failed() {
					break
				}
			}
			t.Logf("%d passages", played)
		})
	}
}

// following returns the next choices in order, as far as the last passage made any, false after the last.
func following(choices []fate) ([]fate, bool) {
	for len(choices) > 0 {
		last := len(choices) - 1
		if choices[last]++; choices[last] < fates {
			return choices, true
		}
		choices = choices[:last]
	}
	return nil, false
}

// playPassage plays a passage that begins with some fates, until it comes to a state that was met, and returns all that it chose.
func playPassage(t *testing.T, w way, choices []fate, met map[string]bool) []fate {
	t.Helper()
	p := &passage{storm: newStorm(t, 1, 0), way: w}
	for i := range p.strange {
		p.strange[i] = &fakeAgent{vm: fmt.Sprintf("strange%d", i)}
	}
	id := p.handIn(job.Step{Count: 1, Size: job.Size{CPU: 500, Memory: 100}, Estimate: stormWork, Lasting: w.age > stormWork})
	p.task = link.NewRun(job.TaskID{Job: id}, 0)
	here := p.newWorker()
	for {
		if !p.awaitStart(here) {
			return p.fates
		}
		p.starts++
		if p.starts > p.mostStarts() {
			t.Errorf("%s: started %d times; %s", w.name, p.starts, p)
			return p.fates
		}
		p.live(here)
		next := told
		if len(p.fates) < len(choices) {
			next = choices[len(p.fates)]
		}
		p.fates = append(p.fates, next)
		here = p.end(here, next)
		if len(p.fates) < len(choices) {
			continue
		}
		state := p.state()
		if met[state] {
			return p.fates
		}
		if met != nil {
			met[state] = true
		}
	}
}

// state tells apart what may follow: what is held against the task and what of that is still open.
func (p *passage) state() string {
	id, _ := p.task.TaskID()
	j := p.lead.jobs[id.Job].job
	return fmt.Sprint(p.starts, j.Task(id).Run(), j.Suspicion(id), j.State(), len(p.lead.unreachable), len(p.late), p.known(), p.lead.suspicions())
}

// suspicions returns how much is held against other tasks.
func (t *term) suspicions() (held []string) {
	for name, known := range t.jobs {
		held = append(held, fmt.Sprint(name, known.job.Suspicion(job.TaskID{Job: name})))
	}
	slices.Sort(held)
	return held
}

func (p *passage) String() string {
	var names []string
	for _, f := range p.fates {
		names = append(names, f.String())
	}
	return strings.Join(names, " ")
}

// mostStarts returns how often the task may start after what became of it so far.
func (p *passage) mostStarts() int {
	if p.known() < leastKnown {
		return mostUnseen
	}
	return mostStarts
}

// known returns how many of its workers are known to have crashed so far.
func (p *passage) known() int {
	known := 0
	for i, f := range p.fates {
		if f != vmGone && (f != toldLate || i < len(p.fates)-1) {
			known++
		}
	}
	return known
}

// newWorker adds a worker on a VM of its own.
func (p *passage) newWorker() *stormWorker {
	p.vms++
	return &stormWorker{agent: &fakeAgent{vm: fmt.Sprintf("vm%02d", p.vms)}, running: make(map[link.Run]*stormRun)}
}

// awaitStart lets the lead work until it has started the task on a worker, false where its job has ended.
func (p *passage) awaitStart(w *stormWorker) bool {
	const patience = 15 * time.Second
	for began := time.Now(); time.Since(began) < patience; time.Sleep(stormStep) {
		assert.NilError(p.t, p.lead.closures.Load(p.t.Context()))
		p.report(w)
		id, _ := p.task.TaskID()
		if p.lead.jobs[id.Job].job.State().Final() {
			return false
		}
		p.deliver(w)
		for run := range w.running {
			if run.Task == p.task.Task {
				return true
			}
		}
	}
	p.t.Fatalf("%s: the task neither starts nor is given up after %s", p.way.name, p)
	return false
}

// live lets the task run until it crashes its worker, beside a task that has just begun then where its way says so.
func (p *passage) live(w *stormWorker) {
	const fresh = 10 * time.Millisecond
	for began := time.Now(); time.Since(began) < p.way.age-fresh; {
		time.Sleep(min(reportStep, p.way.age-fresh-time.Since(began)))
		assert.NilError(p.t, p.lead.closures.Load(p.t.Context()))
		p.report(w)
	}
	if p.way.beside {
		other := p.handIn(job.Step{Count: 1, Size: job.Size{CPU: 500, Memory: 100}, Estimate: stormWork})
		p.report(w)
		p.deliver(w)
		for run, had := range w.running {
			had.answered = true
			if run.Task == (job.TaskID{Job: other}).String() {
				had.began = time.Now()
			}
		}
	}
	time.Sleep(fresh)
}

// end crashes a worker and plays what becomes of the word of it; it returns where the task may start next.
func (p *passage) end(w *stormWorker, f fate) *stormWorker {
	p.crash(w)
	if p.way.together {
		p.crashStrangers()
	}
	// What lay beside the task starts anew after the crash, and is not to be counted with it.
	time.Sleep(stormDown)
	switch f {
	case told:
		p.report(w)
	case agentKilled:
		w.told = nil
		p.report(w)
	case leadKilled:
		p.reportUncommitted(w)
		p.elect(fmt.Sprintf("e%d", len(p.fates)))
		p.report(w)
	case bothKilled:
		w.told = nil
		p.elect(fmt.Sprintf("e%d", len(p.fates)))
		p.report(w)
	case toldLate:
		time.Sleep(permission)
		defer func(held *stormWorker) { p.late = append(p.late, held) }(w)
		w = p.newWorker()
	case vmGone:
		time.Sleep(permission)
		w = p.newWorker()
	}
	for _, held := range p.late {
		p.report(held)
	}
	p.late = nil
	return w
}

// crashStrangers tells the lead that calls to two other workers broke off at this moment.
func (p *passage) crashStrangers() {
	for _, a := range p.strange {
		_, err := p.lead.report(mailbox{a}, link.Report{VM: a.vm, Epoch: p.lead.epoch, BrokenMillis: 1})
		assert.NilError(p.t, err)
	}
}

// reportUncommitted tells the lead what the worker has, and lets it commit nothing of it.
func (p *passage) reportUncommitted(w *stormWorker) {
	answered := make(chan link.ReportAnswer, 1)
	r := w.reportTo(p.lead)
	go func() {
		answer, _ := p.lead.report(mailbox{w.agent}, r)
		answered <- answer
	}()
	answer := <-answered
	assert.Equal(p.t, answer.Crashes, uint64(0), "nothing is committed")
}
