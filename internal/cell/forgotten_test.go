package cell

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestForgottenJobsAreRecognized guards against ended jobs that run again: one that is no longer kept must not pass for one that was never submitted,
// whatever the order of the ends.
func TestForgottenJobsAreRecognized(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New()
		var running, submitted []string
		for n := range rapid.IntRange(EndedLimit, 3*EndedLimit).Draw(t, "jobs") {
			id := fmt.Sprintf("cell.%06d", n)
			d.Submit(NewJob(id, "mailing", "", 1, time.Unix(1, 0)))
			running, submitted = append(running, id), append(submitted, id)
			for len(running) > rapid.IntRange(0, 9).Draw(t, "running") {
				i := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
				if err := d.Cancel(running[i]); err != nil {
					t.Fatal(err)
				}
				running = append(running[:i], running[i+1:]...)
			}
		}
		for _, id := range submitted {
			if _, known := d.Job(id); !known && !d.MayHaveForgotten(id) {
				t.Fatalf("%s has ended and passes for a new job", id)
			}
		}
		if next := fmt.Sprintf("cell.%06d", len(submitted)); d.MayHaveForgotten(next) {
			t.Fatalf("%s was not submitted before", next)
		}
	})
}
