package plan

// mayProve reports whether a group may start here by what has not outlived its start on the worker. A suspect starts where
// nothing else has just begun, and nothing starts beside it before it has outlived its start: so a crash tells whether it is
// the cause, and takes no other new work along.
func (w *Worker) mayProve(g *Group) bool {
	switch {
	case w.prover != nil && w.prover == g:
		// The members of a gang start together.
		return g.Step.Gang
	case w.prover != nil || w.SuspectStarting:
		return false
	case g.SuspectScore > 0:
		return w.Starting == 0
	}
	return !w.ReservedForSuspect
}

// prove counts a task of a group as one that has not outlived its start here.
func (w *Worker) prove(g *Group) {
	w.Starting++
	if g.SuspectScore > 0 {
		w.prover = g
	}
}

// unprove undoes prove.
func (w *Worker) unprove(g *Group) {
	w.Starting--
	if w.prover == g && w.Starting == 0 {
		w.prover = nil
	}
}
