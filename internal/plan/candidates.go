package plan

// offers are what a task of a group would cost on each worker; a placement changes the cost of its worker only.
type offers struct {
	planner *Planner
	group   *Group
	workers []*Worker
	// costs are those of the workers, in their order; may says which of them may take a task.
	costs []float64
	may   []bool
}

// offers reckons the costs of all workers.
func (p *Planner) offers(workers []*Worker, g *Group) *offers {
	o := &offers{planner: p, group: g, workers: workers, costs: make([]float64, len(workers)), may: make([]bool, len(workers))}
	for i := range workers {
		o.reckon(i)
	}
	return o
}

// reckon reckons the cost of one worker.
func (o *offers) reckon(i int) {
	o.may[i] = false
	if w := o.workers[i]; w.admits(o.group) {
		o.costs[i], o.may[i] = o.planner.costOf(w, o.group)
	}
}

// renew reckons the cost of a worker again.
func (o *offers) renew(w *Worker) {
	for i := range o.workers {
		if o.workers[i] == w {
			o.reckon(i)
		}
	}
}

// best returns the worker that suits a task of the group best, nil where none may take it.
func (o *offers) best() *Worker {
	var chosen *Worker
	var lowest float64
	for i, w := range o.workers {
		if o.may[i] && (chosen == nil || o.costs[i] < lowest) {
			chosen, lowest = w, o.costs[i]
		}
	}
	return chosen
}
