package cell

import (
	"maps"
	"slices"
	"strings"

	"github.com/saffronpulley/saffronpulley/internal/task"
)

// EndedLimit is the maximum number of ended jobs that a document keeps.
const EndedLimit = 64

// Document is the durable state of a cell. It is swapped as a whole, so that each change is atomic.
type Document struct {
	epoch  uint64
	leader string
	// lastIncarnation is the highest incarnation assigned so far, so that a recreated task never reuses one.
	lastIncarnation task.Incarnation
	jobs            map[string]*Job
	tasks           map[task.ID]*Task
	endedJobs       []Job
}

// New returns the document of a cell that never had a leader.
func New() *Document {
	return &Document{jobs: make(map[string]*Job), tasks: make(map[task.ID]*Task)}
}

// Clone returns a deep copy.
func (d *Document) Clone() *Document {
	clone := &Document{
		epoch: d.epoch, leader: d.leader, lastIncarnation: d.lastIncarnation, endedJobs: slices.Clone(d.endedJobs),
		jobs: make(map[string]*Job, len(d.jobs)), tasks: make(map[task.ID]*Task, len(d.tasks)),
	}
	for id, j := range d.jobs {
		copied := *j
		clone.jobs[id] = &copied
	}
	for id, t := range d.tasks {
		copied := *t
		clone.tasks[id] = &copied
	}
	return clone
}

// Epoch returns the number of takeovers so far.
func (d *Document) Epoch() uint64 { return d.epoch }

// Leader returns the agent that took over most recently.
func (d *Document) Leader() string { return d.leader }

// Job returns a job, which may be one of the kept ended jobs.
func (d *Document) Job(id string) (Job, bool) {
	if j, ok := d.jobs[id]; ok {
		return *j, true
	}
	for _, j := range d.endedJobs {
		if j.id == id {
			return j, true
		}
	}
	return Job{}, false
}

// Jobs returns the jobs that have not ended, ordered by identifier and therefore by submission.
func (d *Document) Jobs() []Job {
	jobs := make([]Job, 0, len(d.jobs))
	for _, id := range slices.Sorted(maps.Keys(d.jobs)) {
		jobs = append(jobs, *d.jobs[id])
	}
	return jobs
}

// EndedJobs returns the kept ended jobs in the order of their ends. The first may have ended later than others: of the jobs that ended first, the one
// submitted last is kept.
func (d *Document) EndedJobs() []Job { return d.endedJobs }

// MayHaveForgotten reports whether a job that the document does not have may be an ended one that is no longer kept.
func (d *Document) MayHaveForgotten(id string) bool {
	return len(d.endedJobs) == EndedLimit && id <= d.endedJobs[0].id
}

// Task returns a task if it was placed at least once or is a replica.
func (d *Document) Task(id task.ID) (Task, bool) {
	t, ok := d.tasks[id]
	if !ok {
		return Task{}, false
	}
	return *t, true
}

// Tasks returns the replicas and the tasks that were placed at least once, ordered by identifier.
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

// PlacedOn returns the tasks that a VM instance should run, ordered by identifier.
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
