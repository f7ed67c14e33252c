package plan

// mayProve reports whether a group may start here by what has not outlived its start on the worker. A suspect starts where
// nothing else has just begun, and nothing starts beside it before it has outlived its start: so a crash tells whether it is
// the cause, and takes no other new work along.
func (w *Worker) mayProve(g *Group) bool {
	switch {
	case w.prover != nil && w.prover == g:
		// The members of a gang start together.
		return g.Step.Gang
	case w.prover != nil || w.Reserved:
		return false
	case g.Suspect > 0:
		return w.Unproven == 0
	}
	return !w.Kept
}

// prove counts a task of a group as one that has not outlived its start here.
func (w *Worker) prove(g *Group) {
	w.Unproven++
	if g.Suspect > 0 {
		w.prover = g
	}
}

// unprove undoes prove.
func (w *Worker) unprove(g *Group) {
	w.Unproven--
	if w.prover == g && w.Unproven == 0 {
		w.prover = nil
	}
}
