package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/plan"
)

// TestTaskDoesNotRestartWhereItFailed guards against a failed task that restarts on the worker that failed it, since the other worker is full
// for a moment.
func TestTaskDoesNotRestartWhereItFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &healthFleet{t: t, store: kvtest.New(), began: time.Now()}
		f.lead(healthEntry("e", f.store, true))
		bad := f.addWorker("a", 4000)
		bad.failsFrom, bad.failsTo = f.began, f.began.Add(time.Minute)
		f.run(100 * time.Millisecond)
		failing := f.healthTask(1, 1000, 9, 300*time.Millisecond)
		f.run(20 * time.Millisecond)
		good := f.addWorker("b", 4000)
		f.run(20 * time.Millisecond)
		f.healthTask(2, 4000, 9, time.Second)
		f.run(100 * time.Millisecond)
		assert.Equal(t, f.failed, 1)
		assert.Equal(t, len(good.runs), 1)
		f.run(500 * time.Millisecond)
		assert.Equal(t, f.failed, 1)
		assert.Equal(t, f.leader.jobs[failing.Job].job.Task(failing).Phase(), job.Waiting)
		f.run(2 * time.Second)
		assert.Equal(t, f.leader.jobs[failing.Job].job.State(), job.Completed)
	})
}

// TestExcludedWorkersLeaveOne guards against a restarted task that may start nowhere, or on a worker that its job avoids although few are.
func TestExcludedWorkersLeaveOne(t *testing.T) {
	for name, c := range map[string]struct {
		requires          string
		size              int
		avoided, failedOn []int
		excluded          []int
	}{
		"avoided by the job":                       {avoided: []int{0}, excluded: []int{0}},
		"avoided by the job, half of the workers":  {avoided: []int{0, 1}},
		"failed on half of the workers":            {avoided: []int{0, 1}, failedOn: []int{0, 1}, excluded: []int{0, 1}},
		"failed on all workers":                    {avoided: []int{0, 1, 2, 3}, failedOn: []int{0, 1, 2, 3}},
		"failed on the only one with the label":    {requires: "x", avoided: []int{0}, failedOn: []int{0}},
		"avoided, the only one with the label":     {requires: "x", avoided: []int{0}},
		"failed on the only one with the capacity": {size: 99000, avoided: []int{3}, failedOn: []int{3}},
	} {
		t.Run(name, func(t *testing.T) {
			leader := newTerm(healthEntry("e", kvtest.New(), true), 1, 1)
			var hosts []job.Host
			var workers []*plan.Worker
			for _, vm := range []string{"a", "b", "c", "d"} {
				hosts = append(hosts, leader.addWorker(vm))
				workers = append(workers, &leader.hosts.get(hosts[len(hosts)-1]).worker)
			}
			workers[0].Labels, workers[3].Capacity.CPU = []string{"x"}, 99000
			tracked := leader.addTestJob(1, job.Step{Count: 1, Requires: c.requires, Size: job.Size{CPU: c.size}})
			id := job.TaskID{Job: tracked.job.ID()}
			leader.addRun(tracked, 0, hosts[0])
			tracked.job.Unplace(id, 1)
			for _, n := range c.avoided {
				tracked.failedHosts[hosts[n]] = true
			}
			for _, n := range c.failedOn {
				tracked.failedOn[id] = append(tracked.failedOn[id], hosts[n])
			}
			groups := leader.splitRetries([]*plan.Group{{Job: tracked.job, Step: &tracked.job.Spec().Steps[0], Service: testService, Indexes: []int{0}}}, workers)
			assert.Equal(t, len(groups), 1)
			assert.Equal(t, len(groups[0].Excluded), len(c.excluded))
			for _, n := range c.excluded {
				assert.Assert(t, groups[0].Excluded[hosts[n]])
			}
		})
	}
}

// TestFailedTaskRestartsWhereItFailedIfOthersStayFull guards against a task that waits without end beside a worker with room: it had failed there once, and
// the only other worker that it may run on stays full.
func TestFailedTaskRestartsWhereItFailedIfOthersStayFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &healthFleet{t: t, store: kvtest.New(), began: time.Now()}
		f.lead(healthEntry("e", f.store, true))
		full := f.addWorker("a", 4000)
		f.run(100 * time.Millisecond)
		f.healthTask(1, 4000, 9, time.Hour)
		f.run(100 * time.Millisecond)
		bad := f.addWorker("b", 4000)
		const grey = 5 * time.Second
		bad.failsFrom, bad.failsTo = time.Now(), time.Now().Add(grey)
		f.run(20 * time.Millisecond)
		failing := f.healthTask(2, 1000, 4, 300*time.Millisecond)
		f.run(maxExcludedWait - 200*time.Millisecond)
		assert.Equal(t, f.failed, 1, "it waits for room elsewhere first")
		assert.Equal(t, len(full.runs), 1)
		f.run(400 * time.Millisecond)
		assert.Equal(t, f.failed, 2)
		f.run(grey)
		assert.Equal(t, f.leader.jobs[failing.Job].job.State(), job.Completed)
	})
}
