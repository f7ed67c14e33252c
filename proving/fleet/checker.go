package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Checker records the answers to callers and the runs on workers, and each violation of an invariant when it happens.
type Checker struct {
	mu         sync.Mutex
	jobs       map[job.ID]*jobRecord
	tasks      map[job.TaskID]*taskRecord
	violations []string
	// closedAt is when each closed hall was closed.
	closedAt   map[string]time.Time
	startCount int
	// gangs are the runs of gangs, failedRuns the failed runs of each task, with the members of a gang as one.
	gangs      map[gangKey]*gangRun
	failedRuns map[job.TaskID]map[int]bool
	// firstCalls are the times from the starts of incarnations to the first calls that reached them.
	firstCalls []time.Duration
}

// jobRecord is what is known of a job from its caller and its tasks.
type jobRecord struct {
	spec     job.Spec
	accepted bool
	// outcomeUnknown says that an attempt ended without a definite answer, so that the job may run without having been
	// accepted; started says that a task of it was started.
	outcomeUnknown bool
	started        bool
	// inFlight counts the attempts without an answer yet.
	inFlight   int
	canceledAt time.Time
	// cancelRequested says that the caller requested a cancellation, which may have been done without an answer.
	cancelRequested bool
	// gone says that a cancellation was answered that there is no such job, so that none of its tasks may start any more.
	gone      bool
	lastState job.State
}

// taskRecord is what is known of a task from its workers.
type taskRecord struct {
	running      map[string]int
	doneCount    int
	acknowledged bool
	// crashCount counts the workers that the task crashed, startsAfterCrashes its starts since the third of these crashes,
	// and lostRuns the workers that crashed while they ran it, for whatever cause.
	crashCount         int
	startsAfterCrashes int
	lostRuns           int
}

// cancelGrace is how long after an acknowledged cancellation a job's tasks may still start: the platform allows 3 s to a
// process without faults, and the soak injects faults into all.
const cancelGrace = 12 * time.Second

// NewChecker returns a checker without records.
func NewChecker() *Checker {
	return &Checker{
		jobs: make(map[job.ID]*jobRecord), tasks: make(map[job.TaskID]*taskRecord), closedAt: make(map[string]time.Time),
		gangs: make(map[gangKey]*gangRun), failedRuns: make(map[job.TaskID]map[int]bool),
	}
}

// recordViolation records a violation of an invariant; c.mu is held.
func (c *Checker) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordHarnessError records a failure of the stand-ins.
func (c *Checker) recordHarnessError(context string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("%s: %v", context, err)
}

// task returns the record of a task; c.mu is held.
func (c *Checker) task(id job.TaskID) *taskRecord {
	t := c.tasks[id]
	if t == nil {
		t = &taskRecord{running: make(map[string]int)}
		c.tasks[id] = t
	}
	return t
}

// RecordJob records a job before its first submission.
func (c *Checker) RecordJob(id job.ID, spec job.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] == nil {
		c.jobs[id] = &jobRecord{spec: spec}
	}
}

// RecordAttempt records the start of an attempt to submit a job.
func (c *Checker) RecordAttempt(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].inFlight++
}

// RecordAnswer records the result of an attempt to submit a job: accepted, refused, or neither if the outcome is unknown.
func (c *Checker) RecordAnswer(id job.ID, accepted, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	j.inFlight--
	j.accepted = j.accepted || accepted
	j.outcomeUnknown = j.outcomeUnknown || !accepted && !refused
}

// RecordCancelRequest records a request to cancel a job.
func (c *Checker) RecordCancelRequest(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelRequested = true
}

// RecordCancellation records that the cancellation of a job was acknowledged.
func (c *Checker) RecordCancellation(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j.canceledAt.IsZero() {
		j.canceledAt = time.Now()
	}
}

// RecordGone records that a cancellation of a job was answered that there is no such job.
func (c *Checker) RecordGone(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].gone = true
}

// RecordClosure records that a hall was closed or opened, or that the change failed.
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

// checkHall checks a start against the closure of its hall; c.mu is held.
func (c *Checker) checkHall(id job.TaskID, hall string) {
	if since, closed := c.closedAt[hall]; closed && time.Since(since) > closureGrace {
		c.recordViolation("%s was started in hall %s %v after the hall was closed", id, hall, time.Since(since))
	}
}

// RecordState records and checks the state of a job in an answer to a caller; unknown means that the answer does not know
// the job.
func (c *Checker) RecordState(id job.ID, state job.State, unknown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case unknown && j.accepted && j.canceledAt.IsZero():
		c.recordViolation("job %s was accepted and is not known", id)
	case unknown:
	case state == job.Failed && !c.mayFail(id, j) && !c.hasFailed(id):
		c.recordViolation("job %s is shown as failed, but no task of it lost two workers by crashes or failed %d times", id, queueAttempts)
	case state == job.Completed && !c.allDone(id, j):
		c.recordViolation("job %s is shown as completed, but some of its tasks are not done", id)
	default:
		j.lastState = state
	}
}

// allDone reports whether all steps of a job are done; c.mu is held.
func (c *Checker) allDone(id job.ID, j *jobRecord) bool {
	for n := range j.spec.Steps {
		if !c.stepDone(id, n) {
			return false
		}
	}
	return true
}

// contains reports whether the job has the task.
func (j *jobRecord) contains(id job.TaskID) bool {
	return id.Iteration == 0 && id.Step < len(j.spec.Steps) && id.Index < j.spec.Steps[id.Step].Count
}

// checkStart records and checks a start that a worker accepted.
func (c *Checker) checkStart(inc *incarnation, hall string, id job.TaskID, run int, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker := inc.key
	c.startCount++
	j, t := c.jobs[id.Job], c.task(id)
	c.checkHall(id, hall)
	c.checkCrashes(id, t)
	switch {
	case j == nil || !j.contains(id):
		c.recordViolation("%s was started, but was not submitted", id)
		return
	case j.spec.Text != text:
		c.recordViolation("%s was started with another text", id)
	case !j.accepted && !j.outcomeUnknown && j.inFlight == 0:
		c.recordViolation("%s was started, but all attempts to submit it were refused", id)
	case t.acknowledged:
		c.recordViolation("%s was started after its end was acknowledged: run %d on %s", id, run, inc)
	case j.gone:
		c.recordViolation("%s was started after its cancellation was answered that there is no such job", id)
	case !j.canceledAt.IsZero() && time.Since(j.canceledAt) > cancelGrace:
		c.recordViolation("%s was started %v after it was canceled", id, time.Since(j.canceledAt))
	}
	j.started = true
	for other, number := range t.running {
		c.recordViolation("%s runs twice: run %d on %s and run %d on %s", id, number, other, run, inc)
	}
	for _, d := range j.spec.Steps[id.Step].DependsOn {
		if !c.stepDone(id.Job, d) {
			c.recordViolation("%s was started before step %d was done", id, d)
		}
	}
	t.running[worker] = run
}

// step returns the step of a task, the running time of its tasks, and whether the job is known.
func (c *Checker) step(id job.TaskID) (job.Step, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id.Job]
	if j == nil || id.Step >= len(j.spec.Steps) {
		return job.Step{}, 0, false
	}
	return j.spec.Steps[id.Step], taskTimeOf(j.spec.Text), true
}

// recordRunEnd records the end of a run.
func (c *Checker) recordRunEnd(worker string, id job.TaskID, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(id)
	delete(t.running, worker)
	if done {
		t.doneCount++
	}
}

// recordAcknowledgement records that the end of a done run was acknowledged.
func (c *Checker) recordAcknowledgement(id job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task(id).acknowledged = true
}

// recordOvercommit records a start beyond a worker's capacity.
func (c *Checker) recordOvercommit(worker string, id job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("%s was started on %s beyond its capacity", id, worker)
}

// Unfinished returns the accepted jobs that callers have not seen completed, failed or canceled.
func (c *Checker) Unfinished() []job.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unfinished []job.ID
	for id, j := range c.jobs {
		canceled := j.cancelRequested && j.lastState == job.Canceled
		if j.accepted && j.canceledAt.IsZero() && j.lastState != job.Completed && j.lastState != job.Failed && !canceled {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// Violations returns the violations. It is called once all callers have their answers: until then a job may have started
// that is not known to be accepted.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := slices.Clone(c.violations)
	for id, j := range c.jobs {
		if j.started && !j.accepted && !j.outcomeUnknown {
			violations = append(violations, fmt.Sprintf("job %s ran, but all attempts to submit it were refused", id))
		}
	}
	return violations
}

// verify returns an error that lists the violations, nil if there are none.
func (c *Checker) verify() error {
	violations := c.Violations()
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d violations:\n%s", len(violations), c)
}

// Counts returns the numbers of jobs and starts as text.
func (c *Checker) Counts() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, canceled := 0, 0
	for _, j := range c.jobs {
		if j.accepted {
			accepted++
		}
		if !j.canceledAt.IsZero() {
			canceled++
		}
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d canceled, %d starts", len(c.jobs), accepted, canceled, c.startCount)
}

// String returns the violations, one per line.
func (c *Checker) String() string { return strings.Join(c.Violations(), "\n") }

// running returns how many tasks of the first step of a job have a run on a worker.
func (c *Checker) running(id job.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for i := range c.jobs[id].spec.Steps[0].Count {
		if len(c.task(job.TaskID{Job: id, Index: i}).running) > 0 {
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

// hasStarted reports whether a task of a job was started.
func (c *Checker) hasStarted(id job.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].started
}
