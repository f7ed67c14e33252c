package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/plan"
	"github.com/saffronpulley/saffronpulley/internal/reserve"
)

// shortReserves are the reserves for short work, by service.
type shortReserves struct {
	byService map[string]*reserve.Reserve
	// used is the CPU that short work has reserved on open workers, by service, in thousandths of a core.
	used map[string]int
	// unplaced are the long-running tasks that the last plan did not place for a reason other than the reserve.
	unplaced map[string][]plan.WaitingTasks
}

func newShortReserves() shortReserves {
	return shortReserves{byService: make(map[string]*reserve.Reserve), used: make(map[string]int)}
}

// shortLoad is the CPU that short work uses, the part of it on open workers, the CPU that its waiting tasks request, and the
// capacity of open workers, all in thousandths of a core.
type shortLoad struct{ used, usedOpen, waiting, open int }

// shortLoads are the loads by service.
type shortLoads map[string]shortLoad

// add adds a load to that of a service.
func (s shortLoads) add(service string, l shortLoad) {
	sum := s[service]
	s[service] = shortLoad{sum.used + l.used, sum.usedOpen + l.usedOpen, sum.waiting + l.waiting, sum.open + l.open}
}

// openCapacity returns the capacity of a worker that takes new tasks, in thousandths of a core, 0 if it takes none.
func (h *hostState) openCapacity() int {
	if !h.worker.Schedulable || h.worker.HallClosed {
		return 0
	}
	return h.worker.Capacity.CPU
}

// observeShortWork updates the reserves by the load of the workers and by the waiting tasks.
func (t *term) observeShortWork(loads shortLoads, groups []*plan.Group) {
	if !t.dispatcher.config.Features.ShortReserve {
		return
	}
	for _, g := range groups {
		waiting := 0
		if g.Step.IsShort() {
			waiting = len(g.Indexes) * g.Step.Size.CPU
		}
		loads.add(g.Service, shortLoad{waiting: waiting})
	}
	t.reserves.observe(time.Now(), loads)
}

// observe updates the reserves of all services, including those that have neither workers nor waiting tasks now.
func (r *shortReserves) observe(now time.Time, loads shortLoads) {
	for service := range r.byService {
		loads.add(service, shortLoad{})
	}
	for service, l := range loads {
		if r.byService[service] == nil {
			r.byService[service] = &reserve.Reserve{}
		}
		r.byService[service].Observe(now, l.used, l.waiting, l.open)
		r.used[service] = l.usedOpen
	}
}

// total returns what is kept free for all services, in thousandths of a core.
func (r *shortReserves) total() int {
	total := 0
	for _, reserved := range r.byService {
		total += reserved.Amount()
	}
	return total
}

// setReserves sets the reserves of a plan if the feature is on.
func (t *term) setReserves(planner *plan.Planner) {
	if !t.dispatcher.config.Features.ShortReserve {
		return
	}
	reserves := make(map[string]plan.ShortReserve, len(t.reserves.byService))
	for service, reserved := range t.reserves.byService {
		reserves[service] = plan.ShortReserve{CPU: reserved.Amount(), Used: t.reserves.used[service], Waiting: t.reserves.unplaced[service]}
	}
	planner.SetReserves(reserves)
}
