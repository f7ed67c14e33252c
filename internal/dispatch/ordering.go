package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

func compareHosts(a, b job.Host) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), incarnation.Compare(a.Incarnation, b.Incarnation))
}

// sortedRuns returns the tasks that are placed on a worker.
func (h *hostState) sortedRuns() []job.TaskID {
	return slices.SortedFunc(maps.Keys(h.runs), compareTasks)
}

// runsWhere returns the tasks placed on a worker of which something holds, in order; mostly of none.
func (h *hostState) runsWhere(holds func(*placedRun) bool) []job.TaskID {
	var found []job.TaskID
	for id, p := range h.runs {
		if holds(p) {
			found = append(found, id)
		}
	}
	slices.SortFunc(found, compareTasks)
	return found
}

func compareTasks(a, b job.TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job), cmp.Compare(a.Iteration, b.Iteration), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// sortedDirty returns the jobs that have to be committed: those of urgent queues first, then those that wait longest.
func (t *term) sortedDirty() []job.ID {
	return slices.SortedFunc(maps.Keys(t.dirty), func(a, b job.ID) int {
		return cmp.Or(cmp.Compare(t.priorityOf(a), t.priorityOf(b)), cmp.Compare(t.dirty[a], t.dirty[b]))
	})
}

// priorityOf returns the priority of a job's queue as it was when the job was accepted, 0 goes first.
func (t *term) priorityOf(id job.ID) int {
	if known := t.jobs[id]; known != nil {
		return known.job.Queue().Priority
	}
	return 0
}
