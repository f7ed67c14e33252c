package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Checker hold what callers were told and what workers did, and note each broken promise when it happens.
type Checker struct {
	mu         sync.Mutex
	jobs       map[job.ID]*jobRecord
	tasks      map[job.TaskID]*taskRecord
	violations []string
	// closedAt is since when each closedAt hall is.
	closedAt   map[string]time.Time
	startCount int
	// firstCalls are the times from the starts of incarnations to the first calls that reached them.
	firstCalls []time.Duration
}

// jobRecord is a job as its caller knows it.
type jobRecord struct {
	spec     job.Spec
	accepted bool
	// outcomeUnknown says that an attempt got no answer that settles it, so that the job may run without having been accepted; begun
	// that a task of it was started.
	outcomeUnknown bool
	started        bool
	// inFlight counts the attempts that are not answered yet.
	inFlight   int
	canceledAt time.Time
	// cancelRequested says that its caller asked to cancel it, which may have been done without an answer.
	cancelRequested bool
	lastState       job.State
}

// taskRecord is what became of a task.
type taskRecord struct {
	running      map[string]int
	doneCount    int
	acknowledged bool
	// crashCount counts the workers that the task crashed, after its starts since the third of them, lost the workers that
	// crashed while they ran it, whatever crashed them.
	crashCount         int
	startsAfterCrashes int
	lostRuns           int
}

// cancelGrace is how long after its cancelation was acknowledged a job's tasks may still be started: the platform allows 3 s
// to a process that nothing disturbs, and the soak disturbs all.
const cancelGrace = 12 * time.Second

// NewChecker returns empty books.
func NewChecker() *Checker {
	return &Checker{
		jobs: make(map[job.ID]*jobRecord), tasks: make(map[job.TaskID]*taskRecord), closedAt: make(map[string]time.Time),
	}
}

// recordViolation notes a broken promise; c.mu is held.
func (c *Checker) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordHarnessError notes that the stand-ins failed.
func (c *Checker) recordHarnessError(context string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("%s: %v", context, err)
}

// task returns what became of a task; c.mu is held.
func (c *Checker) task(id job.TaskID) *taskRecord {
	h := c.tasks[id]
	if h == nil {
		h = &taskRecord{running: make(map[string]int)}
		c.tasks[id] = h
	}
	return h
}

// RecordJob notes a job that is about to be handed in.
func (c *Checker) RecordJob(id job.ID, spec job.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] == nil {
		c.jobs[id] = &jobRecord{spec: spec}
	}
}

// RecordAttempt notes that an attempt to hand a job in begins.
func (c *Checker) RecordAttempt(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].inFlight++
}

// RecordAnswer notes how an attempt to hand a job in ended: accepted, surely refused, or neither.
func (c *Checker) RecordAnswer(id job.ID, accepted, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.jobs[id]
	e.inFlight--
	e.accepted = e.accepted || accepted
	e.outcomeUnknown = e.outcomeUnknown || !accepted && !refused
}

// RecordCancelRequest notes that the cancelation of a job is asked for.
func (c *Checker) RecordCancelRequest(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelRequested = true
}

// RecordCancellation notes that the cancelation of a job was acknowledged.
func (c *Checker) RecordCancellation(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.jobs[id]; e.canceledAt.IsZero() {
		e.canceledAt = time.Now()
	}
}

// RecordClosure notes that a hall was closed, or opened again, or that this failed.
func (c *Checker) RecordClosure(hall string, closed bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.recordViolation("hall %s could not be closed or opened: %v", hall, err)
	case closed:
		c.closedAt[hall] = time.Now()
	default:
		delete(c.closedAt, hall)
	}
}

// checkHall judges a start by the hall in which it happens; c.mu is held.
func (c *Checker) checkHall(id job.TaskID, hall string) {
	if since, closed := c.closedAt[hall]; closed && time.Since(since) > closureGrace {
		c.recordViolation("%s was started in hall %s %v after that was closed", id, hall, time.Since(since))
	}
}

// RecordState notes the state of a job that a caller was told; gone says that the job is not known.
func (c *Checker) RecordState(id job.ID, state job.State, unknown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.jobs[id]
	switch {
	case unknown && e.accepted && e.canceledAt.IsZero():
		c.recordViolation("job %s was accepted and is not known", id)
	case unknown:
	case state == job.Failed && !c.mayFail(id, e):
		c.recordViolation("job %s is shown as failed though no two workers crashed under a task of it", id)
	case state == job.Completed && !c.allDone(id, e):
		c.recordViolation("job %s is shown as completed though tasks are not done", id)
	default:
		e.lastState = state
	}
}

// allDone reports whether each task of a job was done at least once; c.mu is held.
func (c *Checker) allDone(id job.ID, e *jobRecord) bool {
	for n, step := range e.spec.Steps {
		for i := range step.Count {
			if c.task(job.TaskID{Job: id, Step: n, Index: i}).doneCount == 0 {
				return false
			}
		}
	}
	return true
}

// contains reports whether a task is one of the job's.
func (e *jobRecord) contains(id job.TaskID) bool {
	return id.Iteration == 0 && id.Step < len(e.spec.Steps) && id.Index < e.spec.Steps[id.Step].Count
}

// checkStart judges a start that a worker accepted.
func (c *Checker) checkStart(inc *incarnation, hall string, id job.TaskID, run int, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := inc.key
	c.startCount++
	e, h := c.jobs[id.Job], c.task(id)
	c.checkHall(id, hall)
	c.checkCrashes(id, h)
	switch {
	case e == nil || !e.contains(id):
		c.recordViolation("%s was started, which nobody handed in", id)
		return
	case e.spec.Text != text:
		c.recordViolation("%s was started with another text", id)
	case !e.accepted && !e.outcomeUnknown && e.inFlight == 0:
		c.recordViolation("%s was started though all attempts to hand it in were refused", id)
	case h.acknowledged:
		c.recordViolation("%s was started after its end was taken note of: run %d on %s", id, run, inc)
	case !e.canceledAt.IsZero() && time.Since(e.canceledAt) > cancelGrace:
		c.recordViolation("%s was started %v after it was canceled", id, time.Since(e.canceledAt))
	}
	e.started = true
	for other, number := range h.running {
		c.recordViolation("%s runs twice: run %d on %s and run %d on %s", id, number, other, run, inc)
	}
	for _, d := range e.spec.Steps[id.Step].DependsOn {
		for i := range e.spec.Steps[d].Count {
			if c.task(job.TaskID{Job: id.Job, Step: d, Index: i}).doneCount == 0 {
				c.recordViolation("%s was started before step %d was done", id, d)
			}
		}
	}
	h.running[worker] = run
}

// step returns the step of a task, how long its tasks work, and whether the job is known.
func (c *Checker) step(id job.TaskID) (job.Step, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.jobs[id.Job]
	if e == nil || id.Step >= len(e.spec.Steps) {
		return job.Step{}, 0, false
	}
	return e.spec.Steps[id.Step], taskTimeOf(e.spec.Text), true
}

// recordRunEnd notes that a run is no more.
func (c *Checker) recordRunEnd(worker string, id job.TaskID, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.task(id)
	delete(h.running, worker)
	if done {
		h.doneCount++
	}
}

// recordAcknowledgement notes that the end of a done run was taken note of.
func (c *Checker) recordAcknowledgement(id job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task(id).acknowledged = true
}

// recordOvercommit notes a start beyond a worker's room.
func (c *Checker) recordOvercommit(worker string, id job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("%s was ordered on %s beyond its room", id, worker)
}

// Unfinished returns the accepted jobs that are neither completed nor given up nor canceled, by what callers saw last.
func (c *Checker) Unfinished() []job.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unfinished []job.ID
	for id, e := range c.jobs {
		canceled := e.cancelRequested && e.lastState == job.Canceled
		if e.accepted && e.canceledAt.IsZero() && e.lastState != job.Completed && e.lastState != job.Failed && !canceled {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// Violations returns the broken promises, once all callers have their answers: while one is on its way, a job may have begun
// that is not known to be accepted.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := slices.Clone(c.violations)
	for id, e := range c.jobs {
		if e.started && !e.accepted && !e.outcomeUnknown {
			violations = append(violations, fmt.Sprintf("job %s ran though all attempts to hand it in were refused", id))
		}
	}
	return violations
}

// verify returns an error that names the broken promises, nil where all were kept.
func (c *Checker) verify() error {
	violations := c.Violations()
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d promises broken:\n%s", len(violations), c)
}

// Counts tells of the jobs that were accepted and the runs that were started.
func (c *Checker) Counts() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, canceled := 0, 0
	for _, e := range c.jobs {
		if e.accepted {
			accepted++
		}
		if !e.canceledAt.IsZero() {
			canceled++
		}
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d canceled, %d starts", len(c.jobs), accepted, canceled, c.startCount)
}

// String returns the broken promises, one a line.
func (c *Checker) String() string { return strings.Join(c.Violations(), "\n") }

// running returns how many tasks of a step are on workers.
func (c *Checker) running(id job.ID, step int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for i := range c.jobs[id].spec.Steps[step].Count {
		if len(c.task(job.TaskID{Job: id, Step: step, Index: i}).running) > 0 {
			count++
		}
	}
	return count
}

// wasAccepted reports whether a job was accepted.
func (c *Checker) wasAccepted(id job.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].accepted
}
