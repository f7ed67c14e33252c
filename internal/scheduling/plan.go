package scheduling

import (
	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/placement"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// MaxAssignments bounds the tasks that one plan places, so that an update of the document stays small.
const MaxAssignments = 256

// Plan is the result of planning: the changes to the document, and the reasons why other tasks wait.
type Plan struct {
	assigned []task.Run
	evict    []task.Run
	waiting  map[string]Waiting
	changed  bool
}

// Waiting is the reason why tasks of a job or service wait.
type Waiting struct {
	reason   placement.Reason
	quota    bool
	limit    bool
	tooLarge bool
}

// String returns the reason as a short sentence.
func (w Waiting) String() string {
	switch {
	case w.tooLarge:
		return "no worker of the cell is large enough, even empty"
	case w.quota:
		return "the team's quota is used up"
	case w.limit:
		return "the workload's concurrency is used up"
	default:
		return w.reason.String()
	}
}

// Assigned returns the placed runs.
func (p *Plan) Assigned() []task.Run { return p.assigned }

// Evict returns the runs of batch tasks to evict for services.
func (p *Plan) Evict() []task.Run { return p.evict }

// Waiting returns the reasons why tasks wait, by job or service.
func (p *Plan) Waiting() map[string]Waiting { return p.waiting }

// Changed reports whether the document was changed.
func (p *Plan) Changed() bool { return p.changed }

// planner is the state of one plan.
type planner struct {
	Snapshot
	document    *cell.Document
	plan        *Plan
	candidates  []placement.Candidate
	workerIndex map[string]int
	tasks       []cell.Task
	// slowdowns has the expected slowdown of each service on each worker by its batch tasks.
	slowdowns []map[string]float64
}

// Make plans on the document, which it changes, and returns the result.
func Make(d *cell.Document, s Snapshot) *Plan {
	p := &planner{Snapshot: s, document: d, plan: &Plan{waiting: make(map[string]Waiting)}}
	p.scale()
	p.tasks = d.Tasks()
	p.buildCandidates()
	p.placeServices()
	p.buildSlowdowns()
	if !s.options.ServicesOnly {
		p.placeBatch()
	}
	return p.plan
}

// scale sets the replicas of each service to the cell's share, and retires services that left the table.
func (p *planner) scale() {
	wanted := make(map[string]int)
	for _, r := range p.table.Rows() {
		if r.Kind() == table.Service {
			wanted[r.Workload()] = p.share.Of(r.Replicas())
		}
	}
	for _, t := range p.document.Tasks() {
		if _, ok := wanted[t.Workload()]; t.IsService() && !ok && p.table.Version() > 0 {
			wanted[t.Workload()] = 0
		}
	}
	for workload, replicas := range wanted {
		if p.document.Replicas(workload) != replicas {
			p.document.Scale(workload, replicas)
			p.plan.changed = true
		}
	}
}

func (p *planner) buildCandidates() {
	p.candidates = make([]placement.Candidate, len(p.workers))
	p.workerIndex = make(map[string]int, len(p.workers))
	used := make([]resource.Vector, len(p.workers))
	for i, w := range p.workers {
		p.workerIndex[w.instance] = i
	}
	for _, t := range p.tasks {
		if i, ok := p.workerIndex[t.Instance()]; ok && t.IsPlaced() {
			used[i] = used[i].Add(t.Size())
		}
	}
	for i, w := range p.workers {
		p.candidates[i] = placement.NewCandidate(w.capacity, w.capacity.Sub(used[i]), w.rack)
		p.candidates[i].Close(w.closed)
		if w.batchBlocked && !p.options.NoBatchBlocking {
			p.candidates[i].BlockBatch()
		}
	}
}

func (p *planner) assign(id task.ID, worker int, size resource.Vector) bool {
	run, err := p.document.Assign(id, p.workers[worker].instance, size)
	if err != nil {
		return false
	}
	p.candidates[worker].Allocate(size)
	p.plan.assigned = append(p.plan.assigned, run)
	p.plan.changed = true
	return true
}

func (p *planner) full() bool { return len(p.plan.assigned) >= MaxAssignments }
