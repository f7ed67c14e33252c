package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const (
	shortJob       job.ID = "00000000000000a1"
	longRunningJob job.ID = "00000000000000a2"
	laterShortJob  job.ID = "00000000000000a3"
	largeJob       job.ID = "00000000000000a4"
	// fleetCPU is the capacity of each worker of a shortFleet in thousandths of a core.
	fleetCPU = 10_000
	// fleetStep is the time between two reports and plans.
	fleetStep = 500 * time.Millisecond
)

// shortFleet is a leader with workers in two halls.
type shortFleet struct {
	closureTest
	agents []*fakeAgent
	// restarts counts the restarts of all workers.
	restarts int
}

// newShortFleet returns a leader with perHall workers in each of two halls, which have reported.
func newShortFleet(t *testing.T, perHall int, reserves bool) *shortFleet {
	f := &shortFleet{closureTest: closureTest{t: t, store: kvtest.New()}}
	for i := range perHall {
		for _, hall := range []string{"north", "south"} {
			f.agents = append(f.agents, &fakeAgent{vm: fmt.Sprintf("%s-%d", hall, i), hall: hall})
		}
	}
	f.lead("e", reserves)
	return f
}

// lead lets an entry take over.
func (f *shortFleet) lead(name string, reserves bool) {
	f.t.Helper()
	d := newTestEntry(name, f.store)
	d.config.Features.ShortReserve = reserves
	var err error
	f.term, err = d.tryAcquire(context.Background())
	assert.NilError(f.t, err)
	assert.NilError(f.t, f.term.load(context.Background()))
	f.reportAll(false)
}

// submit lets the leader accept a job of one step with tasks of one core, unless the step has another size.
func (f *shortFleet) submit(id job.ID, step job.Step) {
	f.t.Helper()
	if step.Size.CPU == 0 {
		step.Size.CPU = millisPerCore
	}
	value, err := job.Encode(job.Spec{Steps: []job.Step{step}}, job.Queue{Service: testService, Attempts: 1, Stretch: 2, Target: time.Minute}, time.Now())
	assert.NilError(f.t, err)
	f.commit(kv.Txn{Puts: []kv.Put{{Key: record.JobKey(id), Value: value}}})
	item, err := f.store.Get(context.Background(), record.JobKey(id))
	assert.NilError(f.t, err)
	f.term.mu.Lock()
	defer f.term.mu.Unlock()
	f.term.addJob(item)
}

// reportAll sends a report of each agent, with the runs placed on its worker unless the worker does not answer.
func (f *shortFleet) reportAll(unreachable bool) {
	f.t.Helper()
	for _, a := range f.agents {
		r := testReport(fmt.Sprintf("%s-%d", a.vm, f.restarts))
		r.VM, r.Hall, r.Epoch, r.CPU, r.Unreachable = a.vm, a.hall, f.term.epoch, fleetCPU, unreachable
		if unreachable {
			r.FirstFailureMillis = 1
		}
		if h := f.term.hosts.get(job.Host{VM: a.vm, Incarnation: r.Incarnation()}); h != nil {
			for _, id := range h.sortedRuns() {
				running := link.Running{Run: link.NewRun(id, h.runs[id].number), Pace: 100, Percent: int(time.Now().UnixMilli()/fleetStep.Milliseconds()) % 100}
				r.Running = append(r.Running, running)
			}
		}
		_, err := f.term.report(fakeSession{a}, r)
		assert.NilError(f.t, err)
	}
}

// run lets the agents report and the leader plan for a time.
func (f *shortFleet) run(length time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(fleetStep) {
		assert.NilError(f.t, f.term.closures.Load(context.Background()))
		f.reportAll(false)
		f.runCycle()
	}
}

// restartWorkers lets all workers crash at once and come back.
func (f *shortFleet) restartWorkers() {
	f.t.Helper()
	f.reportAll(true)
	f.restarts++
	f.reportAll(false)
}

// finish ends all placed tasks of a job as done.
func (f *shortFleet) finish(id job.ID) {
	f.term.jobs[id].job.Each(func(task job.TaskID, state *job.Task) {
		if state.Phase() == job.Placed {
			f.term.recordEnd(task, state.Run(), job.EndDone, "", state.Host())
		}
	})
}

// placed returns how many tasks of a job are placed in a hall.
func (f *shortFleet) placed(id job.ID, hall string) int {
	count := 0
	f.term.jobs[id].job.Each(func(_ job.TaskID, task *job.Task) {
		if task.Phase() == job.Placed && f.term.hallOf(task.Host()) == hall {
			count++
		}
	})
	return count
}

// TestLongRunningTasksLeaveReserveFreeAfterRestart guards against short work that waits because long-running tasks have taken
// all capacity of the open hall after a restart of all workers.
func TestLongRunningTasksLeaveReserveFreeAfterRestart(t *testing.T) {
	for _, c := range []struct {
		reserves                 bool
		longRunning, laterPlaced int
	}{{true, 18, 2}, {false, 20, 0}} {
		t.Run(fmt.Sprintf("reserve=%t", c.reserves), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newShortFleet(t, 2, c.reserves)
				// The three cores of short work exceed the limit of the open hall, two of its twenty cores.
				f.submit(shortJob, job.Step{Count: 3, Estimate: time.Minute})
				f.submit(longRunningJob, job.Step{Count: 30, LongRunning: true})
				f.run(30 * time.Second)
				assert.Equal(t, f.placed(longRunningJob, "north")+f.placed(longRunningJob, "south"), 30)
				f.finish(shortJob)
				f.close("north")
				f.restartWorkers()
				f.term.schedule()
				assert.Equal(t, f.placed(longRunningJob, "south"), c.longRunning)
				f.submit(laterShortJob, job.Step{Count: 2})
				f.term.schedule()
				assert.Equal(t, f.placed(laterShortJob, "south"), c.laterPlaced)
				assert.Equal(t, f.placed(longRunningJob, "south"), c.longRunning)
			})
		})
	}
}

// TestRunningShortWorkCountsTowardsReserve guards against a reserve beside the capacity that short work already has: its next
// tasks take the place of those that end.
func TestRunningShortWorkCountsTowardsReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newShortFleet(t, 1, true)
		f.submit(shortJob, job.Step{Count: 2, Estimate: time.Minute})
		f.run(30 * time.Second)
		f.submit(longRunningJob, job.Step{Count: 30, LongRunning: true})
		f.run(time.Second)
		assert.Equal(t, f.placed(longRunningJob, "north")+f.placed(longRunningJob, "south"), 18)
		f.finish(shortJob)
		f.run(time.Second)
		assert.Equal(t, f.placed(longRunningJob, "north")+f.placed(longRunningJob, "south"), 18)
	})
}

// TestNewLeaderLearnsReserve guards against a reserve that a new leader starts with or never learns.
func TestNewLeaderLearnsReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newShortFleet(t, 1, true)
		f.submit(shortJob, job.Step{Count: 1, Estimate: time.Hour})
		f.run(time.Minute)
		// The last of the plans, two a second, is 59.5 s after the first: 1 - exp(-5.95) of a core.
		assert.Equal(t, f.term.reserves.total(), 997)
		f.store.RemoveLeasedKeys()
		f.lead("next", true)
		f.runCycle()
		assert.Equal(t, f.term.reserves.total(), 0)
		f.run(10 * time.Second)
		assert.Equal(t, f.term.reserves.total(), 613)
		f.run(time.Minute)
		assert.Equal(t, f.term.reserves.total(), 999)
	})
}

// TestShortWorkLeavesRoomForWaitingTask guards against short work that takes part of the hall that has just been opened, in
// which a large long-running task could start, and against a leader that does not remember which tasks wait.
func TestShortWorkLeavesRoomForWaitingTask(t *testing.T) {
	for _, reserves := range []bool{true, false} {
		t.Run(fmt.Sprintf("reserve=%t", reserves), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newShortFleet(t, 1, reserves)
				f.close("north")
				f.submit(longRunningJob, job.Step{Count: 5, LongRunning: true})
				f.submit(largeJob, job.Step{Count: 1, LongRunning: true, Size: job.Size{CPU: fleetCPU}})
				f.run(time.Second)
				assert.Equal(t, f.placed(longRunningJob, "south"), 5)
				f.open("north")
				f.submit(shortJob, job.Step{Count: 1})
				f.run(fleetStep)
				short, large := "north", 0
				if reserves {
					short, large = "south", 1
				}
				assert.Equal(t, f.placed(shortJob, short), 1)
				assert.Equal(t, f.placed(largeJob, "north"), large)
			})
		})
	}
}

// BenchmarkScheduleWithReserve measures the work of the leader between two commits while long-running tasks of several sizes wait
// and each worker runs short work.
func BenchmarkScheduleWithReserve(b *testing.B) {
	const sizes, firstJob = 6, 50
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			t := busyTerm(workers)
			t.dispatcher.config.Features.ShortReserve = true
			short := t.addTestJob(firstJob, job.Step{Count: workers, Size: job.Size{CPU: 500}, Estimate: time.Hour})
			for i, h := range t.hosts.all() {
				t.addRun(short, i, h.worker.Host)
			}
			for n := range sizes {
				t.addTestJob(firstJob+1+n, job.Step{Count: benchTasks, Size: job.Size{CPU: 2000 + n*1000}, LongRunning: true})
			}
			for b.Loop() {
				for _, a := range t.agents {
					a.confirmedAt, a.leasedAt = time.Now(), time.Now()
				}
				t.schedule()
			}
		})
	}
}
