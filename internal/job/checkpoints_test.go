package job

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/crash"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
)

// valueLimit is the largest value that the users' store takes, in bytes.
const valueLimit = 1 << 20

// TestLongCheckpointsDoNotOutgrowTheStore guards against a job whose progress the store refuses: each of its tasks left a checkpoint when its worker left.
func TestLongCheckpointsDoNotOutgrowTheStore(t *testing.T) {
	for name, c := range map[string]struct{ tasks, length, omitted int }{
		"as recorded":          {480, 2400, 371},
		"all fit":              {100, 2400, 0},
		"one is too long":      {1, valueLimit, 1},
		"as many as can be":    {MaxTasks, 2400, MaxTasks - 109},
		"shortest are kept":    {2, MaxStoredCheckpoints, 1},
		"at the bound exactly": {1, MaxStoredCheckpoints, 0},
	} {
		t.Run(name, func(t *testing.T) {
			spec := Spec{Steps: []Step{{Count: c.tasks, Checkpoints: true}}}
			j := New("00000000000000aa", spec, Queue{}, time.Unix(1, 0))
			for i := range c.tasks {
				id := TaskID{Job: j.id, Index: i}
				j.Place(id, Host{VM: "vm-with-a-name", Incarnation: incarnation.New("i-0123456789", 1_700_000_000_000)}, 0)
				j.RecordLoss(id, 1, crash.UnreachableLoss())
				j.RecordEnd(id, 1, EndStopped, strings.Repeat("c", c.length))
			}
			data, omitted, err := j.EncodeProgress(MaxStoredCheckpoints, settledHost)
			assert.NilError(t, err)
			assert.Assert(t, len(data) < valueLimit, "the record has %d bytes", len(data))
			assert.Equal(t, omitted, c.omitted)
			decoded := New(j.id, spec, Queue{}, time.Unix(1, 0))
			assert.NilError(t, decoded.ApplyProgress(data))
			resumed := 0
			decoded.Each(func(id TaskID, task *Task) {
				assert.Equal(t, task.Run(), 1)
				if task.Checkpoint() != "" {
					assert.Equal(t, task.Checkpoint(), j.Task(id).Checkpoint())
					resumed++
				}
			})
			assert.Equal(t, resumed, c.tasks-c.omitted)
		})
	}
}
