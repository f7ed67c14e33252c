package scheduling

import (
	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/placement"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// MaxAssignments is how many tasks one plan places at the most, so that a swap stays small.
const MaxAssignments = 256

// Plan is what a plan did to the document and why the rest waits.
type Plan struct {
	assigned []task.Run
	evict    []task.Run
	waiting  map[string]Waiting
	changed  bool
}

// Waiting says why tasks of a job or service wait.
type Waiting struct {
	reason placement.Reason
	quota  bool
	limit  bool
	never  bool
}

// String returns the reason as a short sentence.
func (w Waiting) String() string {
	switch {
	case w.never:
		return "no worker of the cell is large enough, even empty"
	case w.quota:
		return "the team's quota is used up"
	case w.limit:
		return "the workload's concurrency is used up"
	default:
		return w.reason.String()
	}
}

// Assigned returns the runs that were placed.
func (p *Plan) Assigned() []task.Run { return p.assigned }

// Evict returns the runs of batch tasks that are to make room for services.
func (p *Plan) Evict() []task.Run { return p.evict }

// Waiting returns why tasks wait, by job or service.
func (p *Plan) Waiting() map[string]Waiting { return p.waiting }

// Changed reports whether the document was changed.
func (p *Plan) Changed() bool { return p.changed }

// planner holds what one plan works on.
type planner struct {
	Snapshot
	document *cell.Document
	plan     *Plan
	nodes    []placement.Candidate
	places   map[string]int
	tasks    []cell.Task
	// harms is what the batch tasks of each worker are believed to slow each of its services by.
	harms []map[string]float64
}

// Make plans on the document, which it changes, and returns what it did.
func Make(d *cell.Document, s Snapshot) *Plan {
	p := &planner{Snapshot: s, document: d, plan: &Plan{waiting: make(map[string]Waiting)}}
	p.scale()
	p.tasks = d.Tasks()
	p.buildNodes()
	p.placeServices()
	p.buildHarms()
	if !s.options.ServicesOnly {
		p.placeBatch()
	}
	return p.plan
}

// scale brings the replicas of each service to the cell's share, and retires services that left the table.
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

func (p *planner) buildNodes() {
	p.nodes = make([]placement.Candidate, len(p.workers))
	p.places = make(map[string]int, len(p.workers))
	used := make([]resource.Vector, len(p.workers))
	for i, w := range p.workers {
		p.places[w.instance] = i
	}
	for _, t := range p.tasks {
		if i, ok := p.places[t.Instance()]; ok && t.IsPlaced() {
			used[i] = used[i].Add(t.Size())
		}
	}
	for i, w := range p.workers {
		p.nodes[i] = placement.NewCandidate(w.capacity, w.capacity.Sub(used[i]), w.rack)
		p.nodes[i].Close(w.closed)
		if w.pressed && !p.options.NoPressure {
			p.nodes[i].BlockBatch()
		}
	}
}

func (p *planner) assign(id task.ID, node int, size resource.Vector) bool {
	run, err := p.document.Assign(id, p.workers[node].instance, size)
	if err != nil {
		return false
	}
	p.nodes[node].Allocate(size)
	p.plan.assigned = append(p.plan.assigned, run)
	p.plan.changed = true
	return true
}

func (p *planner) full() bool { return len(p.plan.assigned) >= MaxAssignments }
