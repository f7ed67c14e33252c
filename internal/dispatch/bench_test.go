package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottimetest"
	"github.com/saffronpulley/saffronpulley/internal/hall"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

// Sizes of the benchmark, which are those of a large deployment of the users.
const (
	benchServing    = 5
	benchBestEffort = 5
	benchImages     = 16
	benchWaiting    = 30
	benchEnded      = 500
	benchTasks      = 20
)

// benchSizes are the numbers of workers: those of a large deployment of the users, and of two fleets.
var benchSizes = []int{62, 400, 1600}

// benchEntries is the number of workers per entry.
const benchEntries = 4

// busyTerm returns a term with busy workers and with waiting jobs that fit no worker well.
func busyTerm(workers int) *term {
	store := kvtest.New()
	t := newTerm(newTestEntry("e", store), 1, 1)
	t.closures = confirmedClosures(store)
	serving := t.addTestJob(0, job.Step{
		Count: workers * benchServing, Size: job.Size{CPU: 6000, Memory: 9000}, LongRunning: true, Image: "serve", Target: 18 * time.Millisecond,
	})
	bestEffort := t.addTestJob(1, job.Step{
		Count: workers * benchBestEffort, Size: job.Size{CPU: 3000, Memory: 6000}, BestEffort: true, Image: "fill-0", Estimate: time.Second,
	})
	for n := range benchWaiting {
		t.addTestJob(2+n, job.Step{
			Count: benchTasks, Size: job.Size{CPU: 3000, Memory: 6000}, BestEffort: true, Image: fmt.Sprintf("fill-%d", n%benchImages), Estimate: time.Second,
		})
	}
	for n := range benchEnded {
		t.addTestJob(100+n, job.Step{Count: benchTasks, Size: job.Size{CPU: 500}}).job.Cancel()
	}
	for e := range workers / benchEntries {
		t.recordPing(link.Ping{Address: fmt.Sprintf("10.0.0.%d:7720", e)}, nil)
	}
	for v := range workers {
		host := t.addWorker(fmt.Sprintf("vm-%02d", v))
		for i := range benchServing {
			t.addRun(serving, v*benchServing+i, host)
		}
		for i := range benchBestEffort {
			t.addRun(bestEffort, v*benchBestEffort+i, host)
		}
	}
	return t
}

// addWorker adds a worker and its agent.
func (t *term) addWorker(vm string) job.Host {
	host := job.Host{VM: vm, Incarnation: incarnation.New(vm, 0)}
	t.agents[vm] = &agent{vm: vm, confirmedAt: time.Now(), leasedAt: time.Now(), host: host}
	w := &t.ensureHost(host).worker
	w.Service, w.Capacity, w.Schedulable = testService, job.Size{CPU: 32000, Memory: 128000}, true
	return host
}

// addTestJob adds a job of one step.
func (t *term) addTestJob(n int, step job.Step) *trackedJob {
	id := job.ID(fmt.Sprintf("%016x", n))
	queue := job.Queue{Service: testService, Attempts: 1, Stretch: 2, Target: time.Second}
	tracked := newTracked(job.New(id, job.Spec{Steps: []job.Step{step}}, queue, time.Now()))
	t.jobs[id] = tracked
	return tracked
}

// addRun adds a run of a task on a worker.
func (t *term) addRun(tracked *trackedJob, index int, host job.Host) {
	id := job.TaskID{Job: tracked.job.ID(), Index: index}
	run := tracked.job.Place(id, host, 0)
	t.ensureHost(host).addRun(id, &tracked.job.Spec().Steps[0], run)
}

// BenchmarkSchedule measures the work of the leader between two commits.
func BenchmarkSchedule(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			t := busyTerm(workers)
			for b.Loop() {
				for _, a := range t.agents {
					a.confirmedAt, a.leasedAt = time.Now(), time.Now()
				}
				t.schedule()
			}
		})
	}
}

// confirmedClosures returns closures that stay confirmed for longer than a benchmark runs.
func confirmedClosures(store *kvtest.Store) *hall.Closures {
	closures := hall.New(store, testClosures, time.Hour, &boottimetest.Clock{}, logging.Discard())
	if _, err := store.Commit(context.Background(), kv.Txn{}); err != nil {
		panic(err)
	}
	if err := closures.Load(context.Background()); err != nil {
		panic(err)
	}
	return closures
}

// BenchmarkReport measures how the leader handles one report of an agent.
func BenchmarkReport(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchReports(b, busyTerm(workers)) })
	}
}

func benchReports(b *testing.B, t *term) {
	vm := "vm-07"
	h := t.hosts.get(job.Host{VM: vm, Incarnation: incarnation.New(vm, 0)})
	report := link.Report{VM: vm, Epoch: 1, Instance: vm, Service: testService, CPU: 32000, Memory: 128000, Fenced: true}
	for _, id := range h.sortedRuns() {
		report.Running = append(report.Running, link.Running{Run: link.NewRun(id, h.runs[id].number), Measurement: 7, Pace: 100})
	}
	for b.Loop() {
		h.sampledAt = time.Time{}
		answer, err := t.report(fakeSession{&fakeAgent{vm: vm}}, report)
		if err != nil {
			b.Fatal(err)
		}
		report.EntriesVersion = answer.EntriesVersion
	}
}
