package plan

// mayStart reports whether a task of the group may start beside the runs that are still starting on the worker. A
// suspect starts only where nothing else is starting, and nothing starts beside it before it has survived startup. A
// crash then shows whether the suspect is the cause, and ends no other new run.
func (w *Worker) mayStart(g *Group) bool {
	switch {
	case w.suspectGroup != nil && w.suspectGroup == g:
		// The members of a gang start together.
		return g.Step.Gang
	case w.suspectGroup != nil || w.SuspectStarting:
		return false
	case g.SuspectScore > 0:
		return w.Starting == 0
	}
	return !w.ReservedForSuspect
}

// addStarting counts a task of the group as starting on the worker.
func (w *Worker) addStarting(g *Group) {
	w.Starting++
	if g.SuspectScore > 0 {
		w.suspectGroup = g
	}
}

// removeStarting reverts addStarting.
func (w *Worker) removeStarting(g *Group) {
	w.Starting--
	if w.suspectGroup == g && w.Starting == 0 {
		w.suspectGroup = nil
	}
}
