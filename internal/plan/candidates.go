package plan

// candidates holds the cost of a task of one group on each worker; a placement changes only the cost of its worker.
type candidates struct {
	planner *Planner
	group   *Group
	workers []*Worker
	// costs has the cost for each worker, in the order of workers; eligible reports whether the worker can take a
	// task.
	costs    []float64
	eligible []bool
	// waiting are the long-running tasks for which the group leaves room.
	waiting []WaitingTasks
}

// candidates returns the workers with their costs for a task of the group.
func (p *Planner) candidates(workers []*Worker, g *Group) *candidates {
	c := &candidates{planner: p, group: g, workers: workers, costs: make([]float64, len(workers)), eligible: make([]bool, len(workers))}
	c.waiting = p.waitingFor(g)
	for i := range workers {
		c.update(i)
	}
	return c
}

// update recomputes the cost on the worker with index i.
func (c *candidates) update(i int) {
	c.eligible[i] = false
	if w := c.workers[i]; w.admits(c.group) {
		c.costs[i], c.eligible[i] = c.planner.costOf(w, c.group)
		c.costs[i] += w.fragmentation(c.waiting, c.group.Step.Size)
	}
}

// updateWorker recomputes the cost on w.
func (c *candidates) updateWorker(w *Worker) {
	for i := range c.workers {
		if c.workers[i] == w {
			c.update(i)
		}
	}
}

// best returns the eligible worker with the lowest cost, or nil.
func (c *candidates) best() *Worker {
	var chosen *Worker
	var lowest float64
	for i, w := range c.workers {
		if c.eligible[i] && (chosen == nil || c.costs[i] < lowest) {
			chosen, lowest = w, c.costs[i]
		}
	}
	return chosen
}
