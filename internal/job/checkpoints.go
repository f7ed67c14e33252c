package job

import (
	"cmp"
	"slices"
)

// MaxStoredCheckpoints is how many bytes of checkpoints the progress of a job has in the store at most. The platform bounds neither the length of a
// checkpoint nor the tasks of a step, but the length of a value.
const MaxStoredCheckpoints = 256 << 10

// checkpointsWithin returns the checkpoints of the unfinished tasks that fit into a number of bytes, and how many do not fit. The shortest are kept,
// so that as many tasks as possible resume.
func (j *Job) checkpointsWithin(maxBytes int) (kept map[TaskID]string, omitted int) {
	kept = make(map[TaskID]string)
	total := 0
	j.Each(func(id TaskID, t *Task) {
		if t.phase != Done && t.checkpoint != "" {
			kept[id] = t.checkpoint
			total += len(t.checkpoint)
		}
	})
	if total <= maxBytes {
		return kept, 0
	}
	longestFirst := make([]TaskID, 0, len(kept))
	for id := range kept {
		longestFirst = append(longestFirst, id)
	}
	slices.SortFunc(longestFirst, func(a, b TaskID) int {
		return cmp.Or(cmp.Compare(len(kept[b]), len(kept[a])), compareTasks(a, b))
	})
	for _, id := range longestFirst {
		if total <= maxBytes {
			break
		}
		total -= len(kept[id])
		delete(kept, id)
		omitted++
	}
	return kept, omitted
}

func compareTasks(a, b TaskID) int {
	return cmp.Or(cmp.Compare(a.Iteration, b.Iteration), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
