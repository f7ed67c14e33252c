package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
)

// TestLongRunningTaskRestartsOnAnEjectedWorkerIfNoOtherSuits guards against a long-running task that waits for the evidence against a worker to expire,
// although the worker is sound again and no other suits: ejected workers took trials of finite tasks only. It must run within 10 s.
func TestLongRunningTaskRestartsOnAnEjectedWorkerIfNoOtherSuits(t *testing.T) {
	const bad, bound = 6300 * time.Millisecond, 10 * time.Second
	for name, finite := range map[string]bool{"alone": false, "beside a finite trial": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &healthFleet{t: t, store: kvtest.New(), began: time.Now()}
				f.lead(healthEntry("e", f.store, true))
				only := f.addWorker("only", 8000)
				f.addWorker("small-1", 1000)
				f.addWorker("small-2", 1000)
				f.run(100 * time.Millisecond)
				lasting := job.TaskID{Job: f.submit(1, job.Step{Count: 1, Size: job.Size{CPU: 4000}, Estimate: time.Hour, LongRunning: true}, 3)}
				f.run(time.Second)
				assert.Assert(t, only.runs[lasting].number == 1)

				only.failsFrom, only.failsTo = time.Now(), time.Now().Add(bad)
				only.end(lasting, job.EndFailed)
				f.run(bad - 300*time.Millisecond)
				assert.Equal(t, f.leader.dispatcher.config.Metrics.Counter("lead.ejections").Count() > 0, true)
				if finite {
					f.healthTask(2, 2000, 3, 30*time.Second)
				}
				f.run(300 * time.Millisecond)
				assert.Equal(t, only.runs[lasting].number, 0)
				f.run(bound)
				assert.Assert(t, only.runs[lasting].number > 0, "it does not run")
			})
		})
	}
}

// TestLongRunningTaskDoesNotWaitForTheEndOfATrial guards against a long-running task that waits on the only worker that suits until a finite trial there is
// done.
func TestLongRunningTaskDoesNotWaitForTheEndOfATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &healthFleet{t: t, store: kvtest.New(), began: time.Now()}
		f.lead(healthEntry("e", f.store, true))
		only := f.addWorker("only", 8000)
		only.failsFrom, only.failsTo = f.began, f.began.Add(3*time.Second)
		f.run(100 * time.Millisecond)
		for n := range 6 {
			f.healthTask(10+n, 100, 100, 30*time.Second)
		}
		f.run(5 * time.Second)
		assert.Equal(t, f.leader.dispatcher.config.Metrics.Counter("lead.ejections").Count() > 0, true)
		assert.Equal(t, len(only.runs), 1, "the trial")
		lasting := job.TaskID{Job: f.submit(2, job.Step{Count: 1, Size: job.Size{CPU: 1000}, Estimate: time.Hour, LongRunning: true}, 3)}
		f.run(maxExcludedWait + quickFailure)
		assert.Equal(t, only.runs[lasting].number, 1)
		assert.Equal(t, len(only.runs), 2, "no other finite task starts")
	})
}

// TestLongRunningTaskAvoidsAnEjectedWorkerAtFirst checks that a long-running task does not start on an ejected worker while another suits, nor before it
// has waited for one.
func TestLongRunningTaskAvoidsAnEjectedWorkerAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &healthFleet{t: t, store: kvtest.New(), began: time.Now()}
		f.lead(healthEntry("e", f.store, true))
		bad, sound := f.addWorker("bad", 8000), f.addWorker("sound", 8000)
		bad.failsFrom, bad.failsTo = f.began, f.began.Add(time.Minute)
		f.run(100 * time.Millisecond)
		f.healthTask(1, 8000, 100, time.Hour)
		f.run(3 * time.Second)
		assert.Equal(t, len(sound.runs), 1)
		for n := range 10 {
			f.healthTask(10+n, 100, 100, time.Second)
		}
		f.run(time.Second)
		assert.Equal(t, f.leader.dispatcher.config.Metrics.Counter("lead.ejections").Count() > 0, true)
		lasting := job.TaskID{Job: f.submit(2, job.Step{Count: 1, Size: job.Size{CPU: 1000}, Estimate: time.Hour, LongRunning: true}, 3)}
		f.run(maxExcludedWait - 100*time.Millisecond)
		assert.Equal(t, f.leader.jobs[lasting.Job].job.Task(lasting).Run(), 0, "it waits for another worker")
		for id := range sound.runs {
			sound.end(id, job.EndDone)
		}
		f.run(time.Second)
		assert.Equal(t, sound.runs[lasting].number, 1)
	})
}
