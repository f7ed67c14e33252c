package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const (
	// slowTaskEstimate and slowTaskTime are the estimate and the run time of the tasks in these tests.
	slowTaskEstimate = 2 * time.Second
	slowTaskTime     = 6 * time.Second
)

// slowFleet is a leader with one worker, whose tasks run for slowTaskTime or for the time of their job.
type slowFleet struct {
	t       *testing.T
	store   *kvtest.Store
	leader  *term
	agent   *fakeAgent
	learn   bool
	started map[link.Run]time.Time
	times   map[string]time.Duration
	ends    uint64
	// pace is the reported pace of all tasks, silence the age from which running tasks are not reported.
	pace    int
	silence time.Duration
}

func newSlowFleet(t *testing.T, learn bool) *slowFleet {
	t.Helper()
	f := &slowFleet{
		t: t, store: kvtest.New(), agent: &fakeAgent{vm: "vm"}, learn: learn, started: make(map[link.Run]time.Time), pace: 100, silence: time.Hour,
	}
	f.elect("e")
	return f
}

// elect makes another entry the leader.
func (f *slowFleet) elect(name string) {
	f.t.Helper()
	f.store.RemoveLeasedKeys()
	d := newTestEntry(name, f.store)
	d.config.Features.RunTimes = f.learn
	leader, err := d.tryAcquire(f.t.Context())
	assert.NilError(f.t, err)
	assert.NilError(f.t, leader.load(f.t.Context()))
	f.leader = leader
}

// addSlowJob adds a best-effort job of one step with a number of tasks.
func (f *slowFleet) addSlowJob(n, tasks int) *trackedJob {
	return f.leader.addTestJob(n, job.Step{Count: tasks, Size: job.Size{CPU: 100, Memory: 100}, BestEffort: true, Estimate: slowTaskEstimate})
}

// run reports four times a second for some time.
func (f *slowFleet) run(length time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		assert.NilError(f.t, f.leader.closures.Load(f.t.Context()))
		r := testReport("i1")
		runs := slices.SortedFunc(maps.Keys(f.started), func(a, b link.Run) int { return cmp.Compare(a.Task, b.Task) })
		for _, run := range runs {
			age := time.Since(f.started[run])
			switch {
			case age >= f.timeOf(run):
				f.ends++
				r.Ended = append(r.Ended, link.Ended{Run: run, Sequence: f.ends, End: int(job.EndDone)})
				delete(f.started, run)
			case age < f.silence:
				r.Running = append(r.Running, link.Running{Run: run, Percent: int(100 * age / f.timeOf(run)), Pace: f.pace})
			}
		}
		starts, _ := reportAndRun(f.t, f.leader, f.agent, r)
		for _, start := range starts {
			if _, known := f.started[start.Run]; !known {
				f.started[start.Run] = time.Now()
			}
		}
	}
}

// timeOf returns the run time of a task.
func (f *slowFleet) timeOf(run link.Run) time.Duration {
	if took, known := f.times[run.Task]; known {
		return took
	}
	return slowTaskTime
}

// learned returns the number of ends that the leader has learned from.
func (f *slowFleet) learned() int64 {
	return f.leader.dispatcher.config.Metrics.Counter("lead.run_time_ends").Count()
}

// factor returns the predicted run time of a task of a new job, in units of its estimate.
func (f *slowFleet) factor(n int) float64 {
	tracked := f.addSlowJob(n, 1)
	groups := f.leader.waitingGroupsOf(tracked, 0, tracked.acceptedAt)
	assert.Equal(f.t, len(groups), 1)
	g := groups[0]
	assert.Equal(f.t, g.Slack, g.Objective-g.RunTime, "slack and objective use the same run time")
	assert.Equal(f.t, g.CutoffSlack, lateFactor*g.Objective-g.RunTime)
	assert.Equal(f.t, g.Objective, 2*g.RunTime+time.Second)
	assert.Equal(f.t, g.Work, g.RunTime.Seconds()/10)
	assert.Equal(f.t, tracked.job.Objective(), 2*slowTaskEstimate+time.Second, "the logged objective is by the estimates")
	delete(f.leader.jobs, tracked.job.ID())
	return g.RunTime.Seconds() / slowTaskEstimate.Seconds()
}

// TestSlackFollowsLearnedRunTimes guards against slacks and backlogs by estimates that the ends of tasks have shown to be wrong.
func TestSlackFollowsLearnedRunTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowFleet(t, true)
		assert.Equal(t, f.factor(1), 1.0, "without evidence the estimate is trusted")
		for n := range 8 {
			f.addSlowJob(10+n, 1)
		}
		f.run(slowTaskTime + time.Second)
		assert.Equal(t, f.learned(), int64(8))
		assert.Assert(t, f.factor(2) > 1.7 && f.factor(2) < 3, "%.2f", f.factor(2))
		// Ended tasks of the same step say more than those of others.
		partial := f.addSlowJob(30, 2)
		partial.job.Place(job.TaskID{Job: partial.job.ID()}, job.Host{VM: "vm"}, 0)
		partial.endedTasksOf(job.TaskID{Job: partial.job.ID()}).Observe(5 * slowTaskTime)
		groups := f.leader.waitingGroupsOf(partial, 0, time.Now())
		assert.Assert(t, groups[0].RunTime > 2*slowTaskTime, "%s", groups[0].RunTime)
	})
}

// TestNextLeaderStartsFromSavedRunTimes guards against a new leader that trusts the estimates again until enough tasks have ended, and that
// learns from runs whose start it has not ordered.
func TestNextLeaderStartsFromSavedRunTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowFleet(t, true)
		for n := range 8 {
			f.addSlowJob(10+n, 1)
		}
		f.run(slowTaskTime + time.Second)
		time.Sleep(modelSaveInterval)
		f.addSlowJob(20, 1)
		f.run(time.Second)
		before := f.factor(2)
		f.elect("f")
		assert.Equal(t, f.factor(2), before)
		orphan := f.addSlowJob(21, 1)
		host := f.leader.ensureHost(job.Host{VM: "vm", Incarnation: incarnation.New("i1", 0)}).worker.Host
		f.leader.addRun(orphan, 0, host)
		f.started = map[link.Run]time.Time{link.NewRun(job.TaskID{Job: orphan.job.ID()}, 1): time.Now()}
		f.run(slowTaskTime + time.Second)
		assert.Equal(t, orphan.job.State(), job.Completed)
		assert.Equal(t, f.learned(), int64(0), "this leader has started none of the runs")
	})
}

// TestSlowedAndUnreportedRunsTeachNothing guards against run times that depend on the serving tasks beside a run, or on a late report.
func TestSlowedAndUnreportedRunsTeachNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowFleet(t, true)
		f.addSlowJob(10, 3)
		f.run(time.Second)
		f.pace = 60
		f.run(time.Second)
		f.pace = 100
		f.run(slowTaskTime)
		assert.Equal(t, f.learned(), int64(0), "the pace was lower for a second")
		f.addSlowJob(11, 3)
		f.silence = slowTaskTime - maxReportAge - 500*time.Millisecond
		f.run(slowTaskTime + time.Second)
		assert.Equal(t, f.learned(), int64(0), "the time of the end is unknown")
		f.silence = time.Hour
		f.addSlowJob(12, 3)
		f.run(slowTaskTime + time.Second)
		assert.Equal(t, f.learned(), int64(3))
		assert.Equal(t, f.leader.jobs["000000000000000b"].job.State(), job.Completed)
	})
}

// TestRunTimesOfPartialRunsAreUnknown guards against learning from a run that resumed from a checkpoint, or that was ordered twice.
func TestRunTimesOfPartialRunsAreUnknown(t *testing.T) {
	now := time.Now()
	end := now.Add(time.Second)
	known := func(r runTiming) bool { _, known := r.took(end, now); return known }
	assert.Assert(t, !known(runTiming{placedHere: true}), "never ordered")
	full := runTiming{placedHere: true}
	full.recordStart(now, "")
	assert.Assert(t, known(full))
	repeated := full
	repeated.recordStart(now, "")
	assert.Assert(t, !known(repeated))
	resumed := runTiming{placedHere: true}
	resumed.recordStart(now, "c1")
	assert.Assert(t, !known(resumed))
	took, _ := full.took(end, now)
	assert.Equal(t, took, time.Second)
}

// TestUnreadableRunTimesAreIgnored guards against a stored value that keeps entries from leading, or that is kept.
func TestUnreadableRunTimesAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowFleet(t, true)
		_, err := f.store.Commit(t.Context(), kv.Txn{Puts: []kv.Put{{Key: record.EstimatesKey, Value: []byte("odd")}}})
		assert.NilError(t, err)
		f.elect("f")
		assert.Equal(t, f.factor(1), 1.0)
		f.addSlowJob(10, 1)
		f.run(time.Second)
		stored, err := f.store.Get(t.Context(), record.EstimatesKey)
		assert.NilError(t, err)
		assert.Assert(t, string(stored.Value()) != "odd", "the value is replaced with the next save")
	})
}

// TestRunTimesAreNotLearnedByDefault guards against decisions and stored values that change though the feature is off.
func TestRunTimesAreNotLearnedByDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSlowFleet(t, false)
		f.addSlowJob(10, 8)
		f.run(slowTaskTime + time.Second)
		time.Sleep(modelSaveInterval)
		f.addSlowJob(20, 1)
		f.run(time.Second)
		assert.Equal(t, f.factor(1), 1.0)
		assert.Equal(t, f.learned(), int64(0))
		for key, saved := range map[string]bool{record.EstimatesKey: false, record.PressureKey: true} {
			item, err := f.store.Get(t.Context(), key)
			assert.NilError(t, err)
			assert.Equal(t, item.Revision() > 0, saved, key)
		}
	})
}

// TestForecastWithoutEvidenceIsByEstimates guards against slacks that change when the feature is switched on, before anything was learned.
func TestForecastWithoutEvidenceIsByEstimates(t *testing.T) {
	learning := newTestEntry("e", kvtest.New())
	learning.config.Features.RunTimes = true
	leaders := []*term{newTerm(learning, 1, 1), newTerm(newTestEntry("f", kvtest.New()), 1, 1)}
	rapid.Check(t, func(t *rapid.T) {
		var spec job.Spec
		for n := range rapid.IntRange(1, 6).Draw(t, "steps") {
			step := job.Step{
				Count: rapid.IntRange(1, 3).Draw(t, "count"), Size: job.Size{CPU: 1000}, LongRunning: rapid.Bool().Draw(t, "long-running"),
				Estimate: time.Duration(rapid.IntRange(0, 100_000).Draw(t, "estimate")) * time.Millisecond,
			}
			if n > 0 && rapid.Bool().Draw(t, "depends") {
				step.DependsOn = []int{rapid.IntRange(0, n-1).Draw(t, "on")}
			}
			spec.Steps = append(spec.Steps, step)
		}
		tracked := newTracked(job.New("00000000000000aa", spec, job.Queue{Stretch: 3, Target: time.Second}, time.Now()))
		for _, leader := range leaders {
			f := leader.forecast(tracked, 0)
			assert.Equal(t, f.objective, tracked.job.Objective())
			assert.Equal(t, f.remaining, spec.CriticalPath())
			work := 0.0
			for _, step := range spec.Steps {
				for range step.Count {
					work += step.Estimate.Seconds() * float64(step.Size.CPU) / millisPerCore
				}
			}
			assert.Equal(t, f.work, work)
		}
	})
}

// BenchmarkScheduleWithRunTimes measures the work of the leader between two commits if run times are learned.
func BenchmarkScheduleWithRunTimes(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			t := busyTerm(workers)
			t.runTimes = newRunTimes(Features{RunTimes: true})
			for _, tracked := range t.jobs {
				t.runTimes.model.ObserveStep(tracked.job.Queue().Name, tracked.endedTasksOf(job.TaskID{Job: tracked.job.ID()}), time.Second, 2*time.Second)
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
