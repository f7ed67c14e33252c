package fleet

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// Books hold what callers were told and what workers did, and note each broken promise when it happens.
type Books struct {
	mu     sync.Mutex
	jobs   map[job.ID]*entry
	tasks  map[job.TaskID]*history
	broken []string
	// closed is since when each closed hall is.
	closed map[string]time.Time
	starts int
	// contacts are the times from the starts of incarnations to the first calls that reached them.
	contacts []time.Duration
}

// entry is a job as its caller knows it.
type entry struct {
	spec     job.Spec
	accepted bool
	// open says that an attempt got no answer that settles it, so that the job may run without having been accepted; begun
	// that a task of it was started.
	open  bool
	begun bool
	// flying counts the attempts that are not answered yet.
	flying   int
	canceled time.Time
	// canceling says that its caller asked to cancel it, which may have been done without an answer.
	canceling bool
	seen      job.State
}

// history is what became of a task.
type history struct {
	alive map[string]int
	done  int
	noted bool
	// crashes counts the workers that the task crashed, after its starts since the third of them, lost the workers that
	// crashed while they ran it, whatever crashed them.
	crashes int
	after   int
	lost    int
}

// cancelBound is how long after its cancelation was acknowledged a job's tasks may still be started: the platform allows 3 s
// to a process that nothing disturbs, and the soak disturbs all.
const cancelBound = 12 * time.Second

// NewBooks returns empty books.
func NewBooks() *Books {
	return &Books{
		jobs: make(map[job.ID]*entry), tasks: make(map[job.TaskID]*history), closed: make(map[string]time.Time),
	}
}

// fail notes a broken promise; b.mu is held.
func (b *Books) fail(format string, args ...any) {
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// wrong notes that the stand-ins failed.
func (b *Books) wrong(what string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail("%s: %v", what, err)
}

// history returns what became of a task; b.mu is held.
func (b *Books) history(id job.TaskID) *history {
	h := b.tasks[id]
	if h == nil {
		h = &history{alive: make(map[string]int)}
		b.tasks[id] = h
	}
	return h
}

// Sent notes a job that is about to be handed in.
func (b *Books) Sent(id job.ID, spec job.Spec) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobs[id] == nil {
		b.jobs[id] = &entry{spec: spec}
	}
}

// Sending notes that an attempt to hand a job in begins.
func (b *Books) Sending(id job.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[id].flying++
}

// Answered notes how an attempt to hand a job in ended: accepted, surely refused, or neither.
func (b *Books) Answered(id job.ID, accepted, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.jobs[id]
	e.flying--
	e.accepted = e.accepted || accepted
	e.open = e.open || !accepted && !refused
}

// Canceling notes that the cancelation of a job is asked for.
func (b *Books) Canceling(id job.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[id].canceling = true
}

// Canceled notes that the cancelation of a job was acknowledged.
func (b *Books) Canceled(id job.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.jobs[id]; e.canceled.IsZero() {
		e.canceled = time.Now()
	}
}

// Closed notes that a hall was closed, or opened again, or that this failed.
func (b *Books) Closed(hall string, closed bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err != nil:
		b.fail("hall %s could not be closed or opened: %v", hall, err)
	case closed:
		b.closed[hall] = time.Now()
	default:
		delete(b.closed, hall)
	}
}

// judgeHall judges a start by the hall in which it happens; b.mu is held.
func (b *Books) judgeHall(id job.TaskID, hall string) {
	if since, closed := b.closed[hall]; closed && time.Since(since) > closedBound {
		b.fail("%s was started in hall %s %v after that was closed", id, hall, time.Since(since))
	}
}

// Shown notes the state of a job that a caller was told; gone says that the job is not known.
func (b *Books) Shown(id job.ID, state job.State, gone bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.jobs[id]
	switch {
	case gone && e.accepted && e.canceled.IsZero():
		b.fail("job %s was accepted and is not known", id)
	case gone:
	case state == job.Failed && !b.mayFail(id, e):
		b.fail("job %s is shown as failed though no two workers crashed under a task of it", id)
	case state == job.Completed && !b.allDone(id, e):
		b.fail("job %s is shown as completed though tasks are not done", id)
	default:
		e.seen = state
	}
}

// allDone reports whether each task of a job was done at least once; b.mu is held.
func (b *Books) allDone(id job.ID, e *entry) bool {
	for n, step := range e.spec.Steps {
		for i := range step.Count {
			if b.history(job.TaskID{Job: id, Step: n, Index: i}).done == 0 {
				return false
			}
		}
	}
	return true
}

// has reports whether a task is one of the job's.
func (e *entry) has(id job.TaskID) bool {
	return id.Iteration == 0 && id.Step < len(e.spec.Steps) && id.Index < e.spec.Steps[id.Step].Count
}

// started judges a start that a worker accepted.
func (b *Books) started(l *life, hall string, id job.TaskID, run int, text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	worker := l.key
	b.starts++
	e, h := b.jobs[id.Job], b.history(id)
	b.judgeHall(id, hall)
	b.judgeCrashes(id, h)
	switch {
	case e == nil || !e.has(id):
		b.fail("%s was started, which nobody handed in", id)
		return
	case e.spec.Text != text:
		b.fail("%s was started with another text", id)
	case !e.accepted && !e.open && e.flying == 0:
		b.fail("%s was started though all attempts to hand it in were refused", id)
	case h.noted:
		b.fail("%s was started after its end was taken note of: run %d on %s", id, run, l)
	case !e.canceled.IsZero() && time.Since(e.canceled) > cancelBound:
		b.fail("%s was started %v after it was canceled", id, time.Since(e.canceled))
	}
	e.begun = true
	for other, number := range h.alive {
		b.fail("%s runs twice: run %d on %s and run %d on %s", id, number, other, run, l)
	}
	for _, d := range e.spec.Steps[id.Step].DependsOn {
		for i := range e.spec.Steps[d].Count {
			if b.history(job.TaskID{Job: id.Job, Step: d, Index: i}).done == 0 {
				b.fail("%s was started before step %d was done", id, d)
			}
		}
	}
	h.alive[worker] = run
}

// step returns the step of a task, how long its tasks work, and whether the job is known.
func (b *Books) step(id job.TaskID) (job.Step, time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.jobs[id.Job]
	if e == nil || id.Step >= len(e.spec.Steps) {
		return job.Step{}, 0, false
	}
	return e.spec.Steps[id.Step], workOf(e.spec.Text), true
}

// ended notes that a run is no more.
func (b *Books) ended(worker string, id job.TaskID, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(id)
	delete(h.alive, worker)
	if done {
		h.done++
	}
}

// noted notes that the end of a done run was taken note of.
func (b *Books) noted(id job.TaskID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.history(id).noted = true
}

// overfull notes a start beyond a worker's room.
func (b *Books) overfull(worker string, id job.TaskID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fail("%s was ordered on %s beyond its room", id, worker)
}

// Unfinished returns the accepted jobs that are neither completed nor given up nor canceled, by what callers saw last.
func (b *Books) Unfinished() []job.ID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var left []job.ID
	for id, e := range b.jobs {
		gone := e.canceling && e.seen == job.Canceled
		if e.accepted && e.canceled.IsZero() && e.seen != job.Completed && e.seen != job.Failed && !gone {
			left = append(left, id)
		}
	}
	return left
}

// Broken returns the broken promises, once all callers have their answers: while one is on its way, a job may have begun
// that is not known to be accepted.
func (b *Books) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	broken := slices.Clone(b.broken)
	for id, e := range b.jobs {
		if e.begun && !e.accepted && !e.open {
			broken = append(broken, fmt.Sprintf("job %s ran though all attempts to hand it in were refused", id))
		}
	}
	return broken
}

// judge returns an error that names the broken promises, nil where all were kept.
func (b *Books) judge() error {
	broken := b.Broken()
	if len(broken) == 0 {
		return nil
	}
	return fmt.Errorf("%d promises broken:\n%s", len(broken), b)
}

// Counts tells of the jobs that were accepted and the runs that were started.
func (b *Books) Counts() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	accepted, canceled := 0, 0
	for _, e := range b.jobs {
		if e.accepted {
			accepted++
		}
		if !e.canceled.IsZero() {
			canceled++
		}
	}
	return fmt.Sprintf("%d jobs, %d accepted, %d canceled, %d starts", len(b.jobs), accepted, canceled, b.starts)
}

// String returns the broken promises, one a line.
func (b *Books) String() string { return strings.Join(b.Broken(), "\n") }

// running returns how many tasks of a step are on workers.
func (b *Books) running(id job.ID, step int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for i := range b.jobs[id].spec.Steps[step].Count {
		if len(b.history(job.TaskID{Job: id, Step: step, Index: i}).alive) > 0 {
			count++
		}
	}
	return count
}

// wasAccepted reports whether a job was accepted.
func (b *Books) wasAccepted(id job.ID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[id].accepted
}
