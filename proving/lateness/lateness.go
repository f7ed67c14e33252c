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

// Outcome is how a job ended against its objective.
type Outcome int

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// The outcomes of a job.
const (
	InTime  Outcome = iota // in time
	Late                   // late
	TooLate                // too late
	Open                   // open
)

// lateFactor times the objective is when a job is too late to be of use.
const lateFactor = 3

// Share is how the time of the jobs of one queue and outcome was spent in the mean, along their critical tasks: in each step the
// task that ended last.
type Share struct {
	Queue   string
	Outcome Outcome
	Jobs    int
	// Took is from handing in to the end, Objective what it should have been at the most.
	Took      time.Duration
	Objective time.Duration
	// Waiting is the time before the first run of a critical task, Again that from its first run to its last, Running the
	// last run.
	Waiting time.Duration
	Again   time.Duration
	Running time.Duration
}

// task is what the logs tell of a task.
type task struct {
	first, last, done time.Duration
	ended             bool
}

type jobLog struct {
	queue     string
	handedIn  bool
	from, to  time.Duration
	objective time.Duration
	// ended says that the job has ended, counted that it was done.
	ended, counted bool
	steps          map[string]map[string]*task
}

// Read returns the shares of the jobs in a log, by queue and outcome.
func Read(log io.Reader) ([]Share, error) {
	jobs := make(map[string]*jobLog)
	lines := bufio.NewScanner(log)
	const longest = 1 << 20
	lines.Buffer(nil, longest)
	for lines.Scan() {
		if e, ok := parse(lines.Text()); ok {
			take(jobs, e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	return sum(jobs), nil
}

// take takes an event into its job.
func take(jobs map[string]*jobLog, e event) {
	name := e.fields["job"]
	if name == "" {
		name, _, _ = strings.Cut(e.fields["task"], ".")
	}
	j := jobs[name]
	if j == nil {
		j = &jobLog{steps: make(map[string]map[string]*task)}
		jobs[name] = j
	}
	switch e.what {
	case "job handed in":
		j.handIn(e)
	case "task placed":
		j.place(e)
	case "run ended":
		j.end(e)
	case "job ended":
		j.to, j.ended, j.counted = e.at, true, e.fields["state"] == "completed"
		j.objective = e.millis("objective_ms")
	case "job canceled":
		j.ended, j.counted = true, false
	}
}

func (j *jobLog) handIn(e event) {
	if j.handedIn || e.fields["outcome"] != "accepted" {
		return
	}
	j.handedIn, j.queue, j.from = true, e.fields["queue"], e.at-e.millis("ms")
}

func (j *jobLog) place(e event) {
	tasks := j.steps[e.step()]
	if tasks == nil {
		tasks = make(map[string]*task)
		j.steps[e.step()] = tasks
	}
	t := tasks[e.fields["task"]]
	if t == nil {
		t = &task{first: e.at}
		tasks[e.fields["task"]] = t
	}
	t.last = e.at
}

func (j *jobLog) end(e event) {
	if t := j.steps[e.step()][e.fields["task"]]; t != nil && e.fields["end"] == "done" {
		t.done, t.ended = e.at, true
	}
}

// outcome returns how the job ended.
func (j *jobLog) outcome() Outcome {
	took := j.to - j.from
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

// critical returns the task of each step that ended last, in the order of their ends.
func (j *jobLog) critical() []*task {
	var found []*task
	for _, tasks := range j.steps {
		ended := slices.DeleteFunc(slices.Collect(maps.Values(tasks)), func(t *task) bool { return !t.ended })
		if len(ended) > 0 {
			found = append(found, slices.MaxFunc(ended, func(a, b *task) int { return cmp.Compare(a.done, b.done) }))
		}
	}
	slices.SortFunc(found, func(a, b *task) int { return cmp.Compare(a.done, b.done) })
	return found
}

// sum adds up the jobs by queue and outcome; what was cancelled or failed is left out.
func sum(jobs map[string]*jobLog) []Share {
	type key struct {
		queue   string
		outcome Outcome
	}
	shares := make(map[key]*Share)
	for _, j := range jobs {
		if !j.handedIn || (j.ended && !j.counted) {
			continue
		}
		k := key{j.queue, j.outcome()}
		if shares[k] == nil {
			shares[k] = &Share{Queue: k.queue, Outcome: k.outcome}
		}
		shares[k].add(j)
	}
	all := make([]Share, 0, len(shares))
	for _, s := range shares {
		all = append(all, s.mean())
	}
	slices.SortFunc(all, func(a, b Share) int { return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Outcome, b.Outcome)) })
	return all
}

func (s *Share) add(j *jobLog) {
	s.Jobs++
	s.Objective += j.objective
	if j.ended {
		s.Took += j.to - j.from
	}
	open := j.from
	for _, t := range j.critical() {
		s.Waiting += max(t.first-open, 0)
		s.Again += t.last - t.first
		s.Running += t.done - t.last
		open = t.done
	}
}

func (s *Share) mean() Share {
	n := time.Duration(s.Jobs)
	m := *s
	for _, d := range []*time.Duration{&m.Took, &m.Objective, &m.Waiting, &m.Again, &m.Running} {
		*d /= n
	}
	return m
}
