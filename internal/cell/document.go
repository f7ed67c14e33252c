package cell

import (
	"maps"
	"slices"
	"strings"

	"github.com/saffronpulley/saffronpulley/internal/task"
)

// EndedLimit is how many ended jobs a document remembers.
const EndedLimit = 64

// Document is what must last of a cell: it is swapped as a whole, so that each change is one step.
type Document struct {
	epoch uint64
	lead  string
	// starts is the highest incarnation given so far; a task that comes back under its old name gets none again.
	starts task.Incarnation
	jobs   map[string]*Job
	tasks  map[task.ID]*Task
	ended  []Job
}

// New returns the document of a cell that never had a lead.
func New() *Document {
	return &Document{jobs: make(map[string]*Job), tasks: make(map[task.ID]*Task)}
}

// Clone returns a copy that shares nothing.
func (d *Document) Clone() *Document {
	c := &Document{
		epoch: d.epoch, lead: d.lead, starts: d.starts, ended: slices.Clone(d.ended),
		jobs: make(map[string]*Job, len(d.jobs)), tasks: make(map[task.ID]*Task, len(d.tasks)),
	}
	for id, j := range d.jobs {
		copied := *j
		c.jobs[id] = &copied
	}
	for id, t := range d.tasks {
		copied := *t
		c.tasks[id] = &copied
	}
	return c
}

// Epoch returns the number of takeovers so far.
func (d *Document) Epoch() uint64 { return d.epoch }

// Leader returns the agent that took over last.
func (d *Document) Leader() string { return d.lead }

// Job returns a job, also one that ended not long ago.
func (d *Document) Job(id string) (Job, bool) {
	if j, ok := d.jobs[id]; ok {
		return *j, true
	}
	for _, j := range d.ended {
		if j.id == id {
			return j, true
		}
	}
	return Job{}, false
}

// Jobs returns the jobs that have not ended, ordered by identifier and so by submission.
func (d *Document) Jobs() []Job {
	jobs := make([]Job, 0, len(d.jobs))
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		jobs = append(jobs, *d.jobs[id])
	}
	return jobs
}

// EndedJobs returns the ended jobs that are remembered, oldest first.
func (d *Document) EndedJobs() []Job { return d.ended }

// Task returns a task that was placed or is a replica.
func (d *Document) Task(id task.ID) (Task, bool) {
	t, ok := d.tasks[id]
	if !ok {
		return Task{}, false
	}
	return *t, true
}

// Tasks returns the tasks that were placed and the replicas, ordered by name.
func (d *Document) Tasks() []Task {
	tasks := make([]Task, 0, len(d.tasks))
	for _, t := range d.tasks {
		tasks = append(tasks, *t)
	}
	slices.SortFunc(tasks, func(a, b Task) int {
		if order := strings.Compare(a.id.Job(), b.id.Job()); order != 0 {
			return order
		}
		return a.id.Index() - b.id.Index()
	})
	return tasks
}

// PlacedOn returns the tasks that a VM instance is to run, ordered by name.
func (d *Document) PlacedOn(instance string) []Task {
	var placed []Task
	for _, t := range d.Tasks() {
		if t.instance == instance && !d.isUnwanted(t) {
			placed = append(placed, t)
		}
	}
	return placed
}

func (d *Document) isUnwanted(t Task) bool {
	if t.service {
		return t.retired
	}
	j, ok := d.jobs[t.id.Job()]
	return !ok || j.canceled
}
