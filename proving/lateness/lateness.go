package lateness

import (
	"bufio"
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Outcome is the outcome of a job relative to its objective.
type Outcome int

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// The outcomes of a job.
const (
	InTime  Outcome = iota // in time
	Late                   // late
	TooLate                // too late
	Open                   // open
)

// lateFactor is the multiple of the objective after which a job is too late to be of use.
const lateFactor = 3

// Stats is how the time of the jobs of one queue and outcome was spent on average, along their critical tasks: the task of
// each step that ended last.
type Stats struct {
	Queue   string
	Outcome Outcome
	Jobs    int
	// Elapsed is the time from submission to the end, Objective its target.
	Elapsed   time.Duration
	Objective time.Duration
	// Waiting is the time before the first run of a critical task, Retrying that from its first run to its last, Running
	// that of the last run.
	Waiting  time.Duration
	Retrying time.Duration
	Running  time.Duration
}

// task is the times of a task in the logs.
type task struct {
	firstStart, lastStart, doneAt time.Duration
	ended                         bool
}

type jobLog struct {
	queue                string
	submitted            bool
	submittedAt, endedAt time.Duration
	objective            time.Duration
	// ended says that the job ended, completed that it ended as completed.
	ended, completed bool
	steps            map[string]map[string]*task
}

// Read returns the statistics of the jobs in a log, by queue and outcome.
func Read(log io.Reader) ([]Stats, error) {
	jobs := make(map[string]*jobLog)
	lines := bufio.NewScanner(log)
	const maxLineBytes = 1 << 20
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if e, ok := parse(lines.Text()); ok {
			apply(jobs, e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	return summarize(jobs), nil
}

// apply applies an event to its job.
func apply(jobs map[string]*jobLog, e event) {
	name := e.fields["job"]
	if name == "" {
		name, _, _ = strings.Cut(e.fields["task"], ".")
	}
	j := jobs[name]
	if j == nil {
		j = &jobLog{steps: make(map[string]map[string]*task)}
		jobs[name] = j
	}
	switch e.message {
	case "job handed in":
		j.submit(e)
	case "task placed":
		j.place(e)
	case "run ended":
		j.end(e)
	case "job ended":
		j.endedAt, j.ended, j.completed = e.at, true, e.fields["state"] == "completed"
		j.objective = e.millis("objective_ms")
	case "job canceled":
		j.ended, j.completed = true, false
	}
}

func (j *jobLog) submit(e event) {
	if j.submitted || e.fields["outcome"] != "accepted" {
		return
	}
	j.submitted, j.queue, j.submittedAt = true, e.fields["queue"], e.at-e.millis("ms")
}

func (j *jobLog) place(e event) {
	tasks := j.steps[e.step()]
	if tasks == nil {
		tasks = make(map[string]*task)
		j.steps[e.step()] = tasks
	}
	t := tasks[e.fields["task"]]
	if t == nil {
		t = &task{firstStart: e.at}
		tasks[e.fields["task"]] = t
	}
	t.lastStart = e.at
}

func (j *jobLog) end(e event) {
	if t := j.steps[e.step()][e.fields["task"]]; t != nil && e.fields["end"] == "done" {
		t.doneAt, t.ended = e.at, true
	}
}

// outcome returns the outcome of the job.
func (j *jobLog) outcome() Outcome {
	took := j.endedAt - j.submittedAt
	switch {
	case !j.ended:
		return Open
	case took <= j.objective:
		return InTime
	case took <= lateFactor*j.objective:
		return Late
	}
	return TooLate
}

// criticalTasks returns the task of each step that ended last, in the order of their ends.
func (j *jobLog) criticalTasks() []*task {
	var found []*task
	for _, tasks := range j.steps {
		ended := slices.DeleteFunc(slices.Collect(maps.Values(tasks)), func(t *task) bool { return !t.ended })
		if len(ended) > 0 {
			found = append(found, slices.MaxFunc(ended, func(a, b *task) int { return cmp.Compare(a.doneAt, b.doneAt) }))
		}
	}
	slices.SortFunc(found, func(a, b *task) int { return cmp.Compare(a.doneAt, b.doneAt) })
	return found
}

// summarize aggregates the jobs by queue and outcome, without canceled and failed ones.
func summarize(jobs map[string]*jobLog) []Stats {
	type key struct {
		queue   string
		outcome Outcome
	}
	stats := make(map[key]*Stats)
	for _, j := range jobs {
		if !j.submitted || (j.ended && !j.completed) {
			continue
		}
		k := key{j.queue, j.outcome()}
		if stats[k] == nil {
			stats[k] = &Stats{Queue: k.queue, Outcome: k.outcome}
		}
		stats[k].add(j)
	}
	all := make([]Stats, 0, len(stats))
	for _, s := range stats {
		all = append(all, s.mean())
	}
	slices.SortFunc(all, func(a, b Stats) int { return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Outcome, b.Outcome)) })
	return all
}

func (s *Stats) add(j *jobLog) {
	s.Jobs++
	s.Objective += j.objective
	if j.ended {
		s.Elapsed += j.endedAt - j.submittedAt
	}
	readyAt := j.submittedAt
	for _, t := range j.criticalTasks() {
		s.Waiting += max(t.firstStart-readyAt, 0)
		s.Retrying += t.lastStart - t.firstStart
		s.Running += t.doneAt - t.lastStart
		readyAt = t.doneAt
	}
}

func (s *Stats) mean() Stats {
	n := time.Duration(s.Jobs)
	m := *s
	for _, d := range []*time.Duration{&m.Elapsed, &m.Objective, &m.Waiting, &m.Retrying, &m.Running} {
		*d /= n
	}
	return m
}
