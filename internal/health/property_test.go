package health

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// TestEjectionsAreBounded guards against a service that loses most of its workers to ejections, a worker that is treated as healthy in spite of
// evidence, and a second trial beside a running one.
func TestEjectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{schedulable: rapid.IntRange(1, 9).Draw(t, "schedulable")}
		tracker := NewTracker(f)
		now := time.Unix(1000, 0)
		running := make(map[job.Host]int)
		trials := make(map[job.Host]bool)
		worker := func() job.Host { return testHost(string(rune('a' + rapid.IntRange(0, 8).Draw(t, "worker")))) }
		task := func() job.TaskID {
			return testTask(fmt.Sprintf("j%d.%d", rapid.IntRange(0, 5).Draw(t, "job"), rapid.IntRange(0, 3).Draw(t, "task")))
		}
		end := func(w job.Host) {
			running[w], trials[w] = max(running[w]-1, 0), false
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				w := worker()
				status := tracker.Status(w, now)
				if status.State() == Ejected && !status.AllowsTrial(running[w] > 0) {
					return
				}
				if trials[w] && status.State() == Ejected {
					t.Fatalf("%v gets a second trial", w)
				}
				trials[w] = status.State() == Ejected
				running[w]++
			},
			"done":    func(*rapid.T) { w := worker(); end(w); tracker.Done(w, task(), now) },
			"failed":  func(*rapid.T) { w := worker(); end(w); tracker.Failed(w, task(), now) },
			"stalled": func(*rapid.T) { tracker.Stalled(worker(), task(), now) },
			"refused": func(*rapid.T) { tracker.Refused(worker(), now) },
			"started": func(*rapid.T) { tracker.Started(worker()) },
			"forget":  func(*rapid.T) { w := worker(); end(w); running[w] = 0; tracker.Forget(w) },
			"shrink": func(t *rapid.T) {
				f.schedulable = rapid.IntRange(1, 9).Draw(t, "schedulable")
				tracker.Update(now)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
				tracker.Update(now)
			},
			"": func(t *rapid.T) { checkTracker(t, tracker, f, now) },
		})
	})
}

func checkTracker(t *rapid.T, tracker *Tracker, f *fleet, now time.Time) {
	if limit := max(f.schedulable/3, 1); tracker.Ejected() > limit {
		t.Fatalf("%d workers are ejected, the bound is %d", tracker.Ejected(), limit)
	}
	for w, r := range tracker.records {
		status := tracker.Status(w, now)
		if status.State() == Healthy && r.failures > 0 {
			t.Fatalf("%v is healthy with %d failures", w, r.failures)
		}
		if status.State() == Healthy && r.refusals == 0 {
			t.Fatalf("%v has a record without evidence", w)
		}
		total := 0
		for _, n := range r.failuresByJob {
			total += n
		}
		if total != r.failures {
			t.Fatalf("%v has %d failures, %d by job", w, r.failures, total)
		}
	}
}
