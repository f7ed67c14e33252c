package plan

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// script is the state of an archive that plays several plans: tasks that were not placed wait for the next one.
type script struct {
	workers  []*Worker
	groups   []*Group
	weights  pairs
	reserves map[string]ShortReserve
	placed   []Placement
	plans    int
}

// setReserve reads lines like "cpu=2000", the CPU to keep free, and "waiting cpu=4000 memory=100 count=3".
func (s *script) setReserve(t *testing.T, lines []string) {
	t.Helper()
	var r ShortReserve
	for _, line := range lines {
		var waiting WaitingTasks
		switch {
		case strings.HasPrefix(line, "waiting"):
			_, err := fmt.Sscanf(line, "waiting cpu=%d memory=%d count=%d", &waiting.Size.CPU, &waiting.Size.Memory, &waiting.Count)
			assert.NilError(t, err, line)
			r.Waiting = append(r.Waiting, waiting)
		default:
			_, err := fmt.Sscanf(line, "cpu=%d", &r.CPU)
			assert.NilError(t, err, line)
		}
	}
	s.reserves = map[string]ShortReserve{"s": r}
}

// apply applies lines like "close a" and "open a", which concern the hall of a worker, and "end 1.0", the end of a task.
func (s *script) apply(t *testing.T, lines []string) {
	t.Helper()
	for _, line := range lines {
		event, name, _ := strings.Cut(line, " ")
		switch event {
		case "close", "open":
			i := slices.IndexFunc(s.workers, func(w *Worker) bool { return w.Host.VM == name })
			assert.Assert(t, i >= 0, line)
			s.workers[i].HallClosed = event == "close"
		case "end":
			i := slices.IndexFunc(s.placed, func(p Placement) bool { return strings.HasPrefix(describe([]Placement{p}), name+" ") })
			assert.Assert(t, i >= 0, line)
			s.release(s.placed[i])
			s.placed = slices.Delete(s.placed, i, i+1)
		default:
			t.Fatalf("unknown event %s", line)
		}
	}
}

func (s *script) release(p Placement) {
	for _, w := range s.workers {
		if w.Host == p.Host {
			w.Release(p.Step)
		}
	}
}

// plan places the waiting tasks and returns the placements as text; with a reserve, the next plan gets the tasks that this one
// could not place.
func (s *script) plan() string {
	s.plans++
	planner := New(s.workers, s.weights)
	if s.reserves != nil {
		planner.SetReserves(s.reserves)
	}
	placed := planner.Place(s.groups)
	s.placed = append(s.placed, placed...)
	for _, g := range s.groups {
		g.Indexes = slices.DeleteFunc(g.Indexes, func(i int) bool {
			return slices.ContainsFunc(placed, func(p Placement) bool { return p.Task == job.TaskID{Job: g.Job.ID(), Index: i} })
		})
	}
	if s.reserves != nil {
		s.reserves = map[string]ShortReserve{"s": {CPU: s.reserves["s"].CPU, Waiting: planner.Unplaced()["s"]}}
	}
	return describe(placed)
}

func describeWaiting(waiting []WaitingTasks) string {
	var lines []string
	for _, w := range waiting {
		lines = append(lines, fmt.Sprintf("cpu=%d memory=%d count=%d", w.Size.CPU, w.Size.Memory, w.Count))
	}
	return strings.Join(lines, "\n")
}
