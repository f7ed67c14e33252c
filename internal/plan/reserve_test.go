package plan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// freeOf returns the free CPU of the open workers of a service.
func freeOf(workers []*Worker, service string) int {
	free := 0
	for _, w := range workers {
		if w.Service == service && w.Schedulable && !w.HallClosed {
			free += max(w.Free().CPU, 0)
		}
	}
	return free
}

// TestLongRunningTasksLeaveReserveFree guards against a long-running task in the reserve, and against free CPU that is counted
// wrongly after gangs are placed or undone.
func TestLongRunningTasksLeaveReserveFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, groups := drawInputs(t)
		for _, w := range workers {
			w.HallClosed = rapid.Bool().Draw(t, "closed")
			w.Used.CPU = rapid.IntRange(0, 9).Draw(t, "used") * 1000
		}
		for _, g := range groups {
			g.Step.LongRunning = rapid.Bool().Draw(t, "long-running")
		}
		const service = "s"
		amount := rapid.IntRange(0, 20_000).Draw(t, "amount")
		waiting := []WaitingTasks{{job.Size{CPU: rapid.IntRange(0, 4).Draw(t, "waiting cpu") * 1000}, rapid.IntRange(1, 9).Draw(t, "waiting")}}
		used := rapid.IntRange(0, 10_000).Draw(t, "used by short work")
		available := freeOf(workers, service) + used
		p := New(workers, pairs{})
		p.SetReserves(map[string]ShortReserve{service: {CPU: amount, Used: used, Waiting: waiting}})
		for _, placed := range p.Place(groups) {
			requested := placed.Step.Reservation().CPU
			if placed.Step.IsShort() {
				used += requested
				continue
			}
			available -= requested
			if placed.Step.LongRunning && requested > 0 && available < amount {
				t.Fatalf("%v leaves %d of %d to short work", placed.Task, available, amount)
			}
		}
		assert.Equal(t, p.reserves[service].available, freeOf(workers, service)+used)
	})
}

// TestEmptyReserveChangesNoPlan guards against an influence of the reserve while there is no short work and nothing waits.
func TestEmptyReserveChangesNoPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, groups := drawInputs(t)
		for _, g := range groups {
			g.Step.LongRunning = rapid.Bool().Draw(t, "long-running")
		}
		copies, copiedGroups := make([]*Worker, len(workers)), make([]*Group, len(groups))
		for i, w := range workers {
			copied := *w
			copies[i] = &copied
		}
		for i, g := range groups {
			copied := *g
			copied.TasksByWorker = map[job.Host]int{}
			copiedGroups[i] = &copied
		}
		want := describe(New(copies, pairs{}).Place(copiedGroups))
		p := New(workers, pairs{})
		p.SetReserves(map[string]ShortReserve{"s": {}})
		assert.Equal(t, describe(p.Place(groups)), want)
	})
}

// TestFragmentationOutweighsLoadAndNotAvoidance guards against a weight that a full worker outweighs, and against one by which
// short work starts on a worker that its job avoids.
func TestFragmentationOutweighsLoadAndNotAvoidance(t *testing.T) {
	place := func(avoided bool, waiting WaitingTasks) string {
		workers := parseWorkers(t, []string{"full cpu=32000 memory=0 used=31000", "empty cpu=32000 memory=1000"})
		groups := parseGroups(t, []string{"1 cpu=1000"})
		workers[0].BestEffortCPU = 32000
		groups[0].Avoid = map[job.Host]bool{workers[0].Host: avoided}
		p := New(workers, pairs{})
		p.SetReserves(map[string]ShortReserve{"s": {Waiting: []WaitingTasks{waiting}}})
		return describe(p.Place(groups))
	}
	assert.Equal(t, place(false, WaitingTasks{job.Size{CPU: 32000}, 1}), "1.0 full")
	assert.Equal(t, place(false, WaitingTasks{job.Size{CPU: 31000}, 1}), "1.0 empty", "the waiting task still fits beside it")
	assert.Equal(t, place(true, WaitingTasks{job.Size{CPU: 100, Memory: 1}, 999}), "1.0 empty", "ten waiting tasks no longer fit beside it")
}

// TestServicesHaveSeparateReserves guards against a reserve that holds back the long-running tasks of another service.
func TestServicesHaveSeparateReserves(t *testing.T) {
	workers := parseWorkers(t, []string{"a cpu=4000 memory=1000", "b cpu=4000 memory=1000"})
	groups := parseGroups(t, []string{"1 lasting cpu=1000 count=8", "2 lasting cpu=1000 count=8"})
	workers[1].Service, groups[1].Service = "other", "other"
	p := New(workers, pairs{})
	p.SetReserves(map[string]ShortReserve{"s": {CPU: 3000}, "other": {}})
	assert.Equal(t, describe(p.Place(groups)), "1.0 a\n2.0 b\n2.1 b\n2.2 b\n2.3 b")
	assert.DeepEqual(t, p.Unplaced(), map[string][]WaitingTasks{"other": {{job.Size{CPU: 1000}, 4}}})
}

// BenchmarkPlaceShortWork measures a plan with short work while long-running tasks of several sizes wait, with and without a
// reserve; most workers have a few free cores.
func BenchmarkPlaceShortWork(b *testing.B) {
	for _, reserved := range []bool{false, true} {
		b.Run(fmt.Sprintf("workers=1600/reserve=%t", reserved), func(b *testing.B) {
			for b.Loop() {
				p, groups := benchInputs(reserved)
				p.Place(groups)
			}
		})
	}
}

// benchInputs returns a planner and waiting groups: 30 of short work with 20 tasks each and 30 of long-running tasks.
func benchInputs(reserved bool) (*Planner, []*Group) {
	const benchWorkers, benchGroups, benchTasks = 1600, 30, 20
	var workers []*Worker
	for i := range benchWorkers {
		workers = append(workers, &Worker{
			Host: job.Host{VM: fmt.Sprint(i)}, Service: "s", Schedulable: true, Trials: Unlimited,
			Capacity: job.Size{CPU: 32000, Memory: 128000}, Used: job.Size{CPU: 20000 + i%10*1000, Memory: 32000},
		})
	}
	var groups []*Group
	for i := range 2 * benchGroups {
		step := job.Step{Count: benchTasks, Size: job.Size{CPU: 500, Memory: 1000}}
		if i >= benchGroups {
			step.LongRunning, step.Size.CPU = true, 10000+i%6*1000
		}
		groups = append(groups, benchGroup(i, step))
	}
	p := New(workers, pairs{})
	if reserved {
		var waiting []WaitingTasks
		for size := range 6 {
			waiting = append(waiting, WaitingTasks{job.Size{CPU: 2000 + size*2000, Memory: 8000}, 100})
		}
		p.SetReserves(map[string]ShortReserve{"s": {CPU: 5_000_000, Waiting: waiting}})
	}
	return p, groups
}

func benchGroup(n int, step job.Step) *Group {
	j := job.New(job.ID(fmt.Sprintf("%016x", n)), job.Spec{Steps: []job.Step{step}}, job.Queue{}, benchTime)
	g := &Group{Job: j, Step: &j.Spec().Steps[0], Service: "s", TasksByWorker: map[job.Host]int{}}
	for i := range step.Count {
		g.Indexes = append(g.Indexes, i)
	}
	return g
}

// benchTime is when the jobs of the benchmark were accepted.
var benchTime = time.Unix(1, 0)
