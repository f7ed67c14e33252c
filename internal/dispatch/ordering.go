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

// sortedRuns returns the tasks that are placed on a worker, sorted.
func (h *hostState) sortedRuns() []job.TaskID {
	return slices.SortedFunc(maps.Keys(h.runs), compareTasks)
}

// runsWhere returns the tasks placed on a worker whose runs match, sorted. It sorts after filtering, since mostly none match.
func (h *hostState) runsWhere(matches func(*placedRun) bool) []job.TaskID {
	var found []job.TaskID
	for id, p := range h.runs {
		if matches(p) {
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

// sortedDirty returns the jobs to commit: by the priority of their queue, then by the time of their change.
func (t *term) sortedDirty() []job.ID {
	return slices.SortedFunc(maps.Keys(t.dirty), func(a, b job.ID) int {
		return cmp.Or(cmp.Compare(t.priorityOf(a), t.priorityOf(b)), cmp.Compare(t.dirty[a], t.dirty[b]))
	})
}

// priorityOf returns the priority that the queue of a job had when the job was accepted; 0 is the most urgent.
func (t *term) priorityOf(id job.ID) int {
	if tracked := t.jobs[id]; tracked != nil {
		return tracked.job.Queue().Priority
	}
	return 0
}
