package plan

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

// drawLimitedInputs draws workers in any state of health and best-effort groups with limits, as functions that return copies; the groups have
// one image each or share one.
func drawLimitedInputs(t *rapid.T) (workers func() []*Worker, groups func(shared bool) []*Group) {
	var drawnWorkers []Worker
	for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
		w := Worker{
			Host: job.Host{VM: strconv.Itoa(i)}, Service: "s", Schedulable: true, Trials: Unlimited, Capacity: job.Size{CPU: 4000, Memory: 1000},
			Health: health.State(rapid.IntRange(0, 2).Draw(t, "health")),
		}
		if w.Health == health.Ejected {
			w.Trials = rapid.IntRange(0, 1).Draw(t, "trials")
			w.LongRunningTrials = rapid.IntRange(-1, 1).Draw(t, "trials of long-running tasks")
		}
		drawnWorkers = append(drawnWorkers, w)
	}
	var drawnGroups []Group
	for i := range rapid.IntRange(1, 8).Draw(t, "groups") {
		step := job.Step{
			Count: rapid.IntRange(1, 4).Draw(t, "count"), BestEffort: true, LongRunning: rapid.Bool().Draw(t, "long-running"),
			Size: job.Size{CPU: 1000 * rapid.IntRange(1, 2).Draw(t, "cpu"), Memory: 300},
		}
		g := Group{
			Job: job.New(job.ID(fmt.Sprintf("%016x", i)), job.Spec{Steps: []job.Step{step}}, job.Queue{}, time.Unix(1, 0)), Service: "s",
			LastAttempt: !step.LongRunning && rapid.Bool().Draw(t, "last"), WorstHealth: health.State(rapid.IntRange(0, 2).Draw(t, "worst")),
			Excluded: make(map[job.Host]bool), AcceptsEjected: step.LongRunning && rapid.Bool().Draw(t, "accepts ejected"),
		}
		for range rapid.IntRange(0, 2).Draw(t, "excluded") {
			g.Excluded[job.Host{VM: strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "excluded worker"))}] = true
		}
		for n := range step.Count {
			g.Indexes = append(g.Indexes, n)
		}
		drawnGroups = append(drawnGroups, g)
	}
	workers = func() []*Worker {
		var copies []*Worker
		for _, w := range drawnWorkers {
			copies = append(copies, &w)
		}
		return copies
	}
	groups = func(shared bool) []*Group {
		var copies []*Group
		for i, g := range drawnGroups {
			step := g.Job.Spec().Steps[0]
			if !shared {
				step.Image = strconv.Itoa(i)
			}
			g.Step, g.TasksByWorker = &step, make(map[job.Host]int)
			copies = append(copies, &g)
		}
		return copies
	}
	return workers, groups
}

// TestUnplaceableGroupsHideNoWorker guards against tasks that are not placed because no worker was found for tasks of the same image with other
// limits: the plan must be the same as for images that differ, for which nothing is known.
func TestUnplaceableGroupsHideNoWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, groups := drawLimitedInputs(t)
		want := describe(New(workers(), pairs{}).Place(groups(false)))
		if got := describe(New(workers(), pairs{}).Place(groups(true))); got != want {
			t.Fatalf("with one image\n%s\nwith different images\n%s", got, want)
		}
	})
}

// TestLimitsOfHealthHold guards against a task that starts where its group must not: on an excluded worker, on its last attempt on a worker in a
// worse state than allowed, as one trial too many, or as a long-running trial that has not waited.
func TestLimitsOfHealthHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawnWorkers, drawnGroups := drawLimitedInputs(t)
		workers, groups := drawnWorkers(), drawnGroups(true)
		byHost, byJob := make(map[job.Host]*Worker), make(map[job.ID]*Group)
		trials, longRunning := make(map[job.Host]int), make(map[job.Host]int)
		for _, w := range drawnWorkers() {
			byHost[w.Host] = w
		}
		for _, g := range groups {
			byJob[g.Job.ID()] = g
		}
		for _, p := range New(workers, pairs{}).Place(groups) {
			w, g := byHost[p.Host], byJob[p.Task.Job]
			if g.Excluded[p.Host] || g.LastAttempt && w.Health > g.WorstHealth {
				t.Fatalf("%v is placed on %v, which is %v", p.Task, p.Host, w.Health)
			}
			counts, bound := trials, w.Trials
			if g.Step.LongRunning {
				counts, bound = longRunning, w.LongRunningTrials
			}
			if w.Health == health.Ejected {
				counts[p.Host]++
			}
			if counts[p.Host] > 0 && (bound != Unlimited && counts[p.Host] > bound || g.Step.LongRunning && !g.AcceptsEjected) {
				t.Fatalf("%v is no trial on %v", p.Task, p.Host)
			}
		}
	})
}
