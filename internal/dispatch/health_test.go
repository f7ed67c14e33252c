package dispatch

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/health"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const (
	// healthTick is the time between two plans and reports of the simulated fleet, quickFailureTime how long a run lasts on a
	// worker that fails all it starts.
	healthTick       = 20 * time.Millisecond
	quickFailureTime = 40 * time.Millisecond
)

// healthFleet is a leader with workers, some of which fail all runs for a while.
type healthFleet struct {
	t       *testing.T
	store   *kvtest.Store
	leader  *term
	began   time.Time
	values  map[string]string
	workers []*healthWorker
	started int
	failed  int
	refused int
	ejected int64
}

// healthWorker is a worker of a healthFleet with its runs.
type healthWorker struct {
	vm        string
	cpu       int
	runs      map[job.TaskID]healthRun
	sequence  uint64
	ends      []link.Ended
	rejected  []link.Rejected
	failsFrom time.Time
	failsTo   time.Time
}

type healthRun struct {
	number int
	begin  time.Time
	until  time.Time
	end    job.End
}

// healthEntry returns a dispatcher, with or without worker health, that is not the leader yet.
func healthEntry(name string, store *kvtest.Store, on bool) *Dispatcher {
	d := newTestEntry(name, store)
	d.config.Closures, d.config.Features.WorkerHealth = confirmedClosures(store), on
	return d
}

// lead makes an entry the leader, in place of the current one if there is one.
func (f *healthFleet) lead(d *Dispatcher) {
	f.t.Helper()
	if f.leader != nil {
		f.ejected += f.leader.dispatcher.config.Metrics.Counter("lead.ejections").Count()
		d.SuspectLeader(f.leader.epoch, "a test")
	}
	leader, err := d.tryAcquire(f.t.Context())
	assert.NilError(f.t, err)
	assert.NilError(f.t, leader.load(f.t.Context()))
	f.leader = leader
}

// submit stores a job and returns its id.
func (f *healthFleet) submit(n int, step job.Step, attempts int) job.ID {
	f.t.Helper()
	id := job.ID(fmt.Sprintf("%016x", n+1))
	value, err := job.Encode(job.Spec{Steps: []job.Step{step}}, job.Queue{Service: testService, Attempts: attempts, Stretch: 2, Target: time.Minute}, time.Now())
	assert.NilError(f.t, err)
	_, err = f.store.Commit(f.t.Context(), kv.Txn{Puts: []kv.Put{{Key: record.JobKey(id), Value: value}}})
	assert.NilError(f.t, err)
	item, err := f.store.Get(f.t.Context(), record.JobKey(id))
	assert.NilError(f.t, err)
	f.leader.addJob(item)
	return id
}

func (f *healthFleet) addWorker(vm string, cpu int) *healthWorker {
	w := &healthWorker{vm: vm, cpu: cpu, runs: make(map[job.TaskID]healthRun)}
	f.workers = append(f.workers, w)
	return w
}

// tick lets the leader plan and commit, and the workers start, end and report their runs.
func (f *healthFleet) tick(ctx context.Context) {
	f.t.Helper()
	assert.NilError(f.t, cycle(ctx, f.leader))
	for _, w := range f.workers {
		f.advance(w)
		_, err := f.leader.receiveReport(fakeSession{&fakeAgent{vm: w.vm}}, w.report(f.leader.epoch))
		assert.NilError(f.t, err)
	}
	time.Sleep(healthTick)
}

// advance starts the committed runs of a worker and ends those that are due.
func (f *healthFleet) advance(w *healthWorker) {
	now := time.Now()
	h := f.leader.hosts.get(w.host())
	if h == nil {
		return
	}
	for _, id := range h.sortedRuns() {
		p := h.runs[id]
		run, runs := w.runs[id]
		switch {
		case p.stopping && runs:
			w.end(id, job.EndStopped)
		case p.committed && !p.stopping && !runs && f.values["mode"] == "busy" && w.fails(now):
			f.refused++
			w.rejected = append(w.rejected, link.Rejected{Run: link.NewRun(id, p.number), Refusal: int(host.RefusedBusy)})
		case p.committed && !p.stopping && (!runs || run.number != p.number):
			w.runs[id] = f.start(w, p, now)
		}
	}
	for id, run := range w.runs {
		if !now.Before(run.until) {
			w.end(id, run.end)
			if run.end == job.EndFailed {
				f.failed++
			}
		}
	}
}

// start returns a run that begins now, which fails at once on a failing worker, and after its time if it is one in the
// number that the script lets fail.
func (f *healthFleet) start(w *healthWorker, p *placedRun, now time.Time) healthRun {
	f.started++
	run := healthRun{number: p.number, begin: now, until: now.Add(p.step.Estimate)}
	if every := f.number("failing"); every > 0 && f.started%every == 0 {
		run.end = job.EndFailed
	}
	if w.fails(now) {
		run.until, run.end = now.Add(quickFailureTime), job.EndFailed
	}
	return run
}

// fails reports whether the worker fails or refuses all starts.
func (w *healthWorker) fails(now time.Time) bool {
	return !now.Before(w.failsFrom) && now.Before(w.failsTo)
}

func (w *healthWorker) host() job.Host {
	return job.Host{VM: w.vm, Incarnation: incarnation.New(w.vm, 0)}
}

func (w *healthWorker) end(id job.TaskID, end job.End) {
	w.sequence++
	w.ends = append(w.ends, link.Ended{Run: link.NewRun(id, w.runs[id].number), Sequence: w.sequence, End: int(end)})
	delete(w.runs, id)
}

// report returns the next report; it repeats the ends of the last one, as agents do until an end is acknowledged.
func (w *healthWorker) report(epoch uint64) link.Report {
	r := link.Report{
		VM: w.vm, Epoch: epoch, Instance: w.vm, Service: testService, CPU: w.cpu, Memory: 1_000_000, Fenced: true, Running: []link.Running{},
		Ended: w.ends, Rejected: w.rejected,
	}
	for id, run := range w.runs {
		percent := 100 * time.Since(run.begin) / run.until.Sub(run.begin)
		r.Running = append(r.Running, link.Running{Run: link.NewRun(id, run.number), Percent: int(percent), Pace: 100})
	}
	w.ends, w.rejected = w.ends[max(len(w.ends)-1, 0):], nil
	return r
}

func (f *healthFleet) number(name string) int {
	n, _ := strconv.Atoi(f.values[name])
	return n
}

func (f *healthFleet) duration(name string) time.Duration {
	d, err := time.ParseDuration(f.values[name])
	assert.NilError(f.t, err)
	return d
}

// play plays the load of a script and returns what the callers got.
func (f *healthFleet) play() map[string]int {
	ctx := f.t.Context()
	features := f.values["health"] == "on"
	entry := healthEntry("e", f.store, features)
	f.lead(entry)
	for n := range f.number("workers") {
		w := f.addWorker(fmt.Sprintf("vm-%02d", n), f.number("cpu"))
		if n < f.number("bad") {
			w.failsFrom, w.failsTo = f.began.Add(f.duration("from")), f.began.Add(f.duration("to"))
		}
	}
	step := job.Step{
		Count: f.number("tasks"), Size: job.Size{CPU: f.number("size"), Memory: 100}, BestEffort: f.values["kind"] == "batch", Image: "x",
		Estimate: f.duration("runtime"),
	}
	var jobs []job.ID
	for time.Since(f.began) < f.duration("until") {
		if len(jobs) < f.number("jobs") && time.Since(f.began) >= time.Duration(len(jobs))*f.duration("every") {
			jobs = append(jobs, f.submit(len(jobs), step, f.number("attempts")))
		}
		if at := f.duration("takeover"); at > 0 && f.leader.dispatcher == entry && time.Since(f.began) >= at {
			f.lead(healthEntry("f", f.store, features))
		}
		f.tick(ctx)
	}
	result := map[string]int{"failed_runs": f.failed, "refused": f.refused}
	for _, id := range jobs {
		result[f.leader.jobs[id].job.State().String()]++
	}
	result["ejections"] = int(f.ejected + f.leader.dispatcher.config.Metrics.Counter("lead.ejections").Count())
	return result
}

// TestFailingWorkersLoseNoJobs guards against workers that fail all they start and receive most new tasks, which fails the jobs of callers, and
// against healthy workers that are ejected for natural failures. Each archive has a load and limits of its result.
func TestFailingWorkersLoseNoJobs(t *testing.T) {
	files, err := filepath.Glob("testdata/health/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			sections := make(map[string][]string)
			for _, section := range archive.Files {
				sections[section.Name] = strings.Fields(string(section.Data))
			}
			synctest.Test(t, func(t *testing.T) {
				f := &healthFleet{t: t, store: kvtest.New(), began: time.Now(), values: make(map[string]string)}
				for _, word := range sections["load"] {
					name, value, _ := strings.Cut(word, "=")
					f.values[name] = value
				}
				checkLimits(t, f.play(), sections["result"])
			})
		})
	}
}

// checkLimits compares results with limits like "lost<=3" or "completed>=5".
func checkLimits(t *testing.T, result map[string]int, limits []string) {
	t.Helper()
	t.Logf("%v", result)
	for _, limit := range limits {
		name, text, atMost := strings.Cut(limit, "<=")
		if !atMost {
			name, text, _ = strings.Cut(limit, ">=")
		}
		bound, err := strconv.Atoi(text)
		assert.NilError(t, err)
		if atMost {
			assert.Check(t, result[name] <= bound, "%s: %v", limit, result)
			continue
		}
		assert.Check(t, result[name] >= bound, "%s: %v", limit, result)
	}
}

// healthTask places one task of a new job with a size in thousandths of a core.
func (f *healthFleet) healthTask(n, size, attempts int, runtime time.Duration) job.TaskID {
	f.t.Helper()
	return job.TaskID{Job: f.submit(n, job.Step{Count: 1, Size: job.Size{CPU: size}, Estimate: runtime}, attempts)}
}

// run lets the fleet run for a time.
func (f *healthFleet) run(duration time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		f.tick(f.t.Context())
	}
}

// TestNextLeaderProtectsLastAttempts guards against a new leader that starts without evidence and places a task on its last attempt on a worker
// that has failed a task since: the number of failures is in the store, so the task waits for a healthy worker.
func TestNextLeaderProtectsLastAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &healthFleet{t: t, store: kvtest.New(), began: time.Now()}
		f.lead(healthEntry("e", f.store, true))
		bad := f.addWorker("bad", 4000)
		bad.failsFrom, bad.failsTo = f.began, f.began.Add(time.Minute)
		f.run(100 * time.Millisecond)
		protected := f.healthTask(1, 1000, 2, time.Second)
		f.run(100 * time.Millisecond)
		assert.Equal(t, f.failed, 1)
		assert.Equal(t, f.leader.jobs[protected.Job].job.Task(protected).Phase(), job.Waiting)

		// The good worker has no capacity left when another leader takes over.
		f.addWorker("good", 4000)
		f.lead(healthEntry("f", f.store, true))
		blocking := f.healthTask(2, 4000, 3, 1500*time.Millisecond)
		f.leader.jobs[protected.Job].backoffs[protected] = backoff{until: time.Now().Add(200 * time.Millisecond)}
		f.run(40 * time.Millisecond)
		if f.leader.jobs[blocking.Job].job.Task(blocking).Host().VM == "bad" {
			f.run(100 * time.Millisecond)
		}
		other := f.healthTask(3, 1000, 3, time.Second)
		f.run(100 * time.Millisecond)
		assert.Equal(t, f.leader.jobs[blocking.Job].job.Task(blocking).Host().VM, "good")
		assert.Assert(t, f.failed >= 2, "the bad worker has failed a task of this term")
		f.run(1300 * time.Millisecond)
		assert.Equal(t, f.leader.jobs[protected.Job].job.Task(protected).Phase(), job.Waiting, "it waits for the good worker")
		f.run(3 * time.Second)
		assert.Equal(t, f.leader.jobs[protected.Job].job.State(), job.Completed)
		assert.Equal(t, f.leader.jobs[other.Job].job.State(), job.Completed)
		assert.Equal(t, f.leader.dispatcher.config.Metrics.Counter("lead.last_attempts_held").Count() >= 1, true)
	})
}

// TestLastAttemptWaitsForHealthyWorker guards against a task or a gang on its last attempt that starts on a degraded worker at once, or that never
// starts because no healthy worker gets free.
func TestLastAttemptWaitsForHealthyWorker(t *testing.T) {
	for name, gang := range map[string]bool{"task": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &healthFleet{t: t, store: kvtest.New(), began: time.Now()}
				f.lead(healthEntry("e", f.store, true))
				failing := f.addWorker("a", 4000)
				failing.failsFrom, failing.failsTo = f.began, f.began.Add(200*time.Millisecond)
				f.run(100 * time.Millisecond)
				f.healthTask(1, 4000, 3, time.Hour)
				f.run(100 * time.Millisecond)
				assert.Equal(t, f.failed, 1)
				f.addWorker("b", 4000)
				f.run(100 * time.Millisecond)
				last := job.TaskID{Job: f.submit(2, job.Step{Count: 2, Size: job.Size{CPU: 1000}, Estimate: time.Second, Gang: gang}, 1)}
				f.run(maxHealthyWait - 100*time.Millisecond)
				assert.Equal(t, f.leader.jobs[last.Job].job.Task(last).Phase(), job.Waiting)
				f.run(200 * time.Millisecond)
				assert.Equal(t, f.leader.jobs[last.Job].job.Task(last).Phase(), job.Placed)
				assert.Equal(t, f.leader.jobs[last.Job].job.Task(last).Host().VM, "a")
			})
		})
	}
}

// TestEndsThatAreNoEvidence guards against a worker that is degraded by a stop, a lapse, the end of a gang, a drain, or a late failure of a
// long-running task, and against a report that is repeated.
func TestEndsThatAreNoEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		step     job.Step
		end      job.End
		draining bool
		after    time.Duration
		degraded bool
	}{
		"failed":               {end: job.EndFailed, degraded: true},
		"stopped":              {end: job.EndStopped},
		"lapsed":               {end: job.EndLapsed},
		"broken":               {end: job.EndGangBroken},
		"alone":                {end: job.EndGangIncomplete},
		"failed while drained": {end: job.EndFailed, draining: true},
		"long-running, early":  {step: job.Step{LongRunning: true}, end: job.EndFailed, after: 500 * time.Millisecond, degraded: true},
		"long-running, late":   {step: job.Step{LongRunning: true}, end: job.EndFailed, after: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader := newTerm(healthEntry("e", kvtest.New(), true), 1, 1)
				worker := leader.addWorker("vm")
				c.step.Count = 1
				tracked := leader.addTestJob(1, c.step)
				tracked.job = job.New(tracked.job.ID(), *tracked.job.Spec(), job.Queue{Service: testService, Attempts: 9}, time.Now())
				leader.addRun(tracked, 0, worker)
				id := job.TaskID{Job: tracked.job.ID()}
				h := leader.hosts.get(worker)
				h.draining, h.runs[id].startSentAt = c.draining, time.Now()
				time.Sleep(c.after)
				for range 2 {
					leader.recordEnd(id, 1, c.end, "", worker)
				}
				leader.limitPlacements(h, time.Now())
				assert.Equal(t, h.worker.Health == health.Degraded, c.degraded)
				assert.Assert(t, h.worker.Health != health.Ejected)
			})
		})
	}
}
