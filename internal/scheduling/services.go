package scheduling

import (
	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/placement"
	"github.com/saffronpulley/saffronpulley/internal/resource"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

// placeServices places the waiting replicas, spread over workers and racks.
func (p *planner) placeServices() {
	for _, t := range p.tasks {
		if !t.IsService() || t.IsRetired() || t.IsPlaced() || p.full() {
			continue
		}
		r, ok := p.table.Row(t.Workload())
		if !ok {
			continue
		}
		p.placeReplica(t, r)
	}
}

func (p *planner) placeReplica(t cell.Task, r table.Row) {
	p.setReplicas(r.Workload())
	result := placement.Choose(placement.NewRequest(r.Size(), true), p.candidates, p.weights)
	if result.Index() >= 0 {
		if p.assign(t.ID(), result.Index(), r.Size()) {
			p.tasks = p.document.Tasks()
		}
		return
	}
	p.plan.waiting[r.Workload()] = Waiting{reason: result.MainReason(), tooLarge: !FitsEmptyWorker(r.Size(), p.workers)}
	p.requestEvictions(r.Size())
}

// setReplicas sets on each candidate how many replicas of the service run on the worker and in its rack.
func (p *planner) setReplicas(workload string) {
	onWorker := make([]int, len(p.workers))
	onRack := make(map[int]int)
	for _, t := range p.tasks {
		i, ok := p.workerIndex[t.Instance()]
		if !ok || !t.IsService() || t.Workload() != workload {
			continue
		}
		onWorker[i]++
		onRack[p.workers[i].rack]++
	}
	for i, w := range p.workers {
		p.candidates[i].SetReplicas(onWorker[i], onRack[w.rack])
	}
}

// requestEvictions requests evictions that free enough capacity for size, on the worker that needs the fewest.
func (p *planner) requestEvictions(size resource.Vector) {
	var best []task.Run
	for i, w := range p.workers {
		if w.closed != placement.Chosen || p.candidates[i].HasReplica() || !size.Fits(w.capacity) {
			continue
		}
		victims, ok := p.victims(i, size)
		if ok && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	p.plan.evict = append(p.plan.evict, best...)
}

func (p *planner) victims(worker int, size resource.Vector) ([]task.Run, bool) {
	free := p.candidates[worker].Free()
	var victims []task.Run
	for _, t := range p.tasks {
		if size.Fits(free) {
			break
		}
		if t.Instance() != p.workers[worker].instance || !Evictable(t, p.table) {
			continue
		}
		victims = append(victims, t.Run())
		free = free.Add(t.Size())
	}
	return victims, size.Fits(free)
}

// Evictable reports whether the eviction budget of a batch task allows one more eviction.
func Evictable(t cell.Task, rows table.Table) bool {
	if t.IsService() || !t.IsPlaced() {
		return false
	}
	r, ok := rows.Row(t.Workload())
	return ok && t.Evictions() < r.Evictions()
}
