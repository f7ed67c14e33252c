package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// benchFailedTasks is the number of tasks of each waiting job that have failed, each on another worker; every
	// benchDegraded-th worker is degraded or ejected.
	benchFailedTasks = 3
	benchDegraded    = 10
)

// unhealthyTerm returns the term of busyTerm with worker health, degraded and ejected workers and failed tasks.
func unhealthyTerm(workers int) *term {
	t := busyTerm(workers)
	t.dispatcher.config.Features.WorkerHealth = true
	t.trackHealth()
	hosts := t.hosts.all()
	for n := range benchWaiting {
		tracked := t.jobs[job.ID(fmt.Sprintf("%016x", 2+n))]
		for i := range benchFailedTasks {
			id := job.TaskID{Job: tracked.job.ID(), Index: i}
			worker := hosts[(n*benchFailedTasks+i)%len(hosts)].worker.Host
			tracked.job.Unplace(id, tracked.job.Place(id, worker, 0))
			tracked.failedOn[id] = append(tracked.failedOn[id], worker)
			tracked.failedHosts[worker] = true
		}
	}
	t.blameWorkers()
	return t
}

// blameWorkers records failures of different jobs for every benchDegraded-th worker.
func (t *term) blameWorkers() {
	for n, h := range t.hosts.all() {
		if n%benchDegraded == 0 {
			for i := range 1 + n/benchDegraded%2 {
				t.health.Failed(h.worker.Host, job.TaskID{Job: job.ID(fmt.Sprintf("f%d-%d", n, i))}, time.Now())
			}
		}
	}
}

// BenchmarkScheduleWithHealth measures the work of the leader between two commits with worker health.
func BenchmarkScheduleWithHealth(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			t := unhealthyTerm(workers)
			for b.Loop() {
				for _, a := range t.agents {
					a.confirmedAt, a.leasedAt = time.Now(), time.Now()
				}
				if t.health.AllHealthy() {
					t.blameWorkers()
				}
				t.schedule()
			}
		})
	}
}

// BenchmarkReportWithHealth measures how the leader handles one report of an agent with worker health.
func BenchmarkReportWithHealth(b *testing.B) {
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchReports(b, unhealthyTerm(workers)) })
	}
}
