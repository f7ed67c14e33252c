package plan

import (
	"cmp"
	"math"
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// fragmentationCost is the cost per waiting long-running task that no longer fits. It is above 1 + bestEffortWeight, the
	// largest difference that load makes, that of a full worker, and below remoteDataCost.
	fragmentationCost = 1.5
	// maxFragmentedTasks bounds the tasks that count, so that avoided workers still come last: with all other costs,
	// 1.25 + 2 + 4 * 1.5 is below avoidedWorkerCost.
	maxFragmentedTasks = 4
	// maxWaitingSizes bounds the sizes that a plan considers, the most frequent ones, since each is compared for each worker
	// and group of short work; long-running tasks have few distinct sizes.
	maxWaitingSizes = 4
)

// WaitingTasks are the long-running tasks of one size that wait for capacity.
type WaitingTasks struct {
	Size  job.Size
	Count int
}

// ShortReserve is what a plan grants the short work of one service.
type ShortReserve struct {
	// CPU is what long-running tasks must leave to short work on the schedulable workers outside closed halls, Used what short
	// work has reserved there before the plan; both are in thousandths of a core.
	CPU, Used int
	// Waiting are the long-running tasks that the last plan did not place for a reason other than the reserve.
	Waiting []WaitingTasks
}

// serviceReserve is the state of the reserve of one service during a plan.
type serviceReserve struct {
	// amount is the CPU to leave to short work, available the CPU of the service's open workers that is free or used by short
	// work, in thousandths of a core.
	amount, available int
	waiting           []WaitingTasks
	// unplaced counts the long-running tasks that this plan cannot place for a reason other than the reserve, by size.
	unplaced map[job.Size]int
}

// SetReserves sets the reserves for short work by service; without them, and for other services, nothing is kept free.
func (p *Planner) SetReserves(reserves map[string]ShortReserve) {
	p.reserves = make(map[string]*serviceReserve, len(reserves))
	for service, r := range reserves {
		p.reserves[service] = &serviceReserve{amount: r.CPU, available: r.Used, waiting: mostFrequent(r.Waiting), unplaced: make(map[job.Size]int)}
	}
	for _, w := range p.workers {
		if r := p.reserves[w.Service]; r != nil && w.Schedulable && !w.HallClosed {
			// A worker whose capacity has shrunk below its use has nothing free, and takes nothing from others.
			r.available += max(w.Free().CPU, 0)
		}
	}
}

// Unplaced returns the long-running tasks that Place did not place for a reason other than the reserve, by service with a
// reserve.
func (p *Planner) Unplaced() map[string][]WaitingTasks {
	unplaced := make(map[string][]WaitingTasks)
	for service, r := range p.reserves {
		for size, count := range r.unplaced {
			unplaced[service] = append(unplaced[service], WaitingTasks{size, count})
		}
		slices.SortFunc(unplaced[service], compareWaiting)
	}
	return unplaced
}

// mostFrequent returns the at most maxWaitingSizes sizes for which most tasks wait.
func mostFrequent(waiting []WaitingTasks) []WaitingTasks {
	sorted := slices.SortedFunc(slices.Values(waiting), compareWaiting)
	return sorted[:min(len(sorted), maxWaitingSizes)]
}

// compareWaiting orders sizes, the most frequent and then the largest first, so that a plan does not depend on their order.
func compareWaiting(a, b WaitingTasks) int {
	return cmp.Or(
		cmp.Compare(b.Count, a.Count),
		cmp.Compare(b.Size.CPU, a.Size.CPU),
		cmp.Compare(b.Size.Memory, a.Size.Memory),
		cmp.Compare(b.Size.GPU, a.Size.GPU),
	)
}

// reserveRefuses reports whether one more task of the group would take capacity that is left to short work.
func (p *Planner) reserveRefuses(g *Group) bool {
	r := p.reserves[g.Service]
	requested := g.Step.Reservation().CPU
	return r != nil && g.Step.LongRunning && requested > 0 && r.available-requested < r.amount
}

// takeAvailable records that tasks of the group take CPU that was available to short work; a negative number returns it.
func (p *Planner) takeAvailable(g *Group, tasks int) {
	if r := p.reserves[g.Service]; r != nil && !g.Step.IsShort() {
		r.available -= tasks * g.Step.Reservation().CPU
	}
}

// recordUnplaced records that no worker takes some tasks of the group.
func (p *Planner) recordUnplaced(g *Group, tasks int) {
	if r := p.reserves[g.Service]; r != nil && g.Step.LongRunning {
		r.unplaced[g.Step.Reservation()] += tasks
	}
}

// waitingFor returns the waiting long-running tasks for which the group should leave room: none unless it is short work.
func (p *Planner) waitingFor(g *Group) []WaitingTasks {
	if r := p.reserves[g.Service]; r != nil && g.Step.IsShort() {
		return r.waiting
	}
	return nil
}

// fragmentation returns the cost of the waiting tasks that would no longer fit on the worker beside one more task of size.
func (w *Worker) fragmentation(waiting []WaitingTasks, size job.Size) float64 {
	if len(waiting) == 0 {
		return 0
	}
	lost := 0
	before := w.Free()
	after := before.Minus(size)
	for _, t := range waiting {
		if t.Size.Fits(before) {
			lost += min(tasksThatFit(before, t.Size), t.Count) - min(tasksThatFit(after, t.Size), t.Count)
		}
	}
	return fragmentationCost * float64(min(lost, maxFragmentedTasks))
}

// tasksThatFit returns how many tasks of a size fit into free capacity.
func tasksThatFit(free, size job.Size) int {
	count := math.MaxInt
	for _, r := range [...]struct{ free, requested int }{{free.CPU, size.CPU}, {free.Memory, size.Memory}, {free.GPU, size.GPU}} {
		if r.requested > 0 {
			count = min(count, r.free/r.requested)
		}
	}
	return count
}
