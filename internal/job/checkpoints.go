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
	var longestFirst []TaskID
	total := 0
	j.Each(func(id TaskID, t *Task) {
		if t.phase != Done && t.checkpoint != "" {
			kept[id] = t.checkpoint
			longestFirst = append(longestFirst, id)
			total += len(t.checkpoint)
		}
	})
	if total <= maxBytes {
		return kept, 0
	}
	slices.SortStableFunc(longestFirst, func(a, b TaskID) int { return cmp.Compare(len(kept[b]), len(kept[a])) })
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
