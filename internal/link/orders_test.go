package link

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// TestSplitOrdersStayBelowTheLimit checks that the messages together have the orders in their order, each start with its text, and that each is below the
// limit or has one start.
func TestSplitOrdersStayBelowTheLimit(t *testing.T) {
	const limit = 20_000
	rapid.Check(t, func(rt *rapid.T) {
		whole := Orders{Epoch: 7, Instance: "i", Texts: make(map[string]string)}
		for n := range rapid.IntRange(0, 40).Draw(rt, "starts") {
			id := job.TaskID{Job: job.ID(fmt.Sprintf("%016x", n/rapid.IntRange(1, 3).Draw(rt, "tasks"))), Index: n}
			char := rapid.SampledFrom([]string{"a", "<", "\x01", "\u2028", "\xff"}).Draw(rt, "char")
			whole.Starts = append(whole.Starts, Start{
				Profile:    Profile{Run: NewRun(id, n+1), CPU: 1 << 40, Memory: 1 << 40, GPU: 1 << 40, TargetMillis: 1 << 40, Image: char, BestEffort: true, LongRunning: true},
				Checkpoint: strings.Repeat(char, rapid.IntRange(0, 500).Draw(rt, "checkpoint")), Ticket: char,
			})
			whole.Texts[string(id.Job)] = strings.Repeat(char, rapid.IntRange(0, 4000).Draw(rt, "text"))
		}
		for n := range rapid.IntRange(0, 300).Draw(rt, "stops") {
			whole.Stops = append(whole.Stops, Run{Task: fmt.Sprintf("%016x.0.0.%d", n, n), Number: 1 << 40})
		}
		var starts []Start
		var stops []Run
		for _, part := range whole.Split(limit) {
			encoded, err := json.Marshal(part)
			assert.NilError(rt, err)
			const frame = 200
			assert.Assert(rt, len(encoded) < limit+frame || len(part.Starts)+len(part.Stops) == 1, "%d bytes", len(encoded))
			assert.Equal(rt, part.Epoch, whole.Epoch)
			assert.Equal(rt, part.Instance, whole.Instance)
			assert.Assert(rt, len(part.Starts) == 0 || len(stops) == 0, "a start after a stop")
			for _, s := range part.Starts {
				id, _ := s.TaskID()
				text, known := part.Texts[string(id.Job)]
				assert.Assert(rt, known)
				assert.Equal(rt, text, whole.Texts[string(id.Job)])
			}
			starts, stops = append(starts, part.Starts...), append(stops, part.Stops...)
		}
		assert.DeepEqual(rt, starts, whole.Starts)
		assert.DeepEqual(rt, stops, whole.Stops)
	})
}
