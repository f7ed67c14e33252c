package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// BenchmarkScheduleWithIdleTasks measures the work of the leader between two commits while many long-running tasks find no worker.
func BenchmarkScheduleWithIdleTasks(b *testing.B) {
	const idleJobs = 200
	for _, workers := range benchSizes {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			t := busyTerm(workers)
			for n := range idleJobs {
				t.addTestJob(1000+n, job.Step{
					Count: benchTasks, Size: job.Size{CPU: 60000, Memory: 9000}, LongRunning: true, AntiAffinity: 1, Image: "serve", Target: 18 * time.Millisecond,
				})
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
