package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const (
	// maxLateWrite is how late the store writes the record of a late submission at most, and lateSubmissionPause the pause after it.
	maxLateWrite        = 6 * time.Second
	lateSubmissionPause = 500 * time.Millisecond
	// lateSubmissionSeed separates the caller's jobs from those of the soak's other caller.
	lateSubmissionSeed = 1 << 40
)

// cancelLateSubmissions submits jobs whose records the store writes late and cancels them meanwhile, until stop is closed.
func (f *Fleet) cancelLateSubmissions(s Soak, stop <-chan struct{}) {
	random, caller := rand.New(rand.NewPCG(s.Seed, 18)), NewCaller(f, s.Seed+lateSubmissionSeed)
	for {
		id := caller.addJob(job.Spec{Text: "work=300ms", Steps: []job.Step{demoStep(1, 300*time.Millisecond)}})
		f.store.DelayPuts(record.JobKey(id))
		caller.submit(id)
		f.store.DelayPuts("")
		acknowledged := false
		for attempt := 0; !acknowledged && attempt < maxAttempts; attempt++ {
			acknowledged = caller.cancel(id)
		}
		s.Logf("%s is canceled before its record is written; acknowledged=%t", id, acknowledged)
		select {
		case <-stop:
			f.store.ApplyLate()
			return
		case <-time.After(time.Duration(random.Int64N(int64(maxLateWrite)))):
		}
		f.store.ApplyLate()
		<-time.After(lateSubmissionPause)
	}
}
