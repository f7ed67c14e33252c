package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// trackedJob is a job with what the lead notes of it.
type trackedJob struct {
	job *job.Job
	// acceptedAt is when the job was accepted, by the lead's own clock.
	acceptedAt time.Time
	endedAt    time.Time
	// idleSince is since when nothing of the job runs, zero while something does.
	idleSince time.Time
	// version counts the changes, saved is the version that the store has.
	version      uint64
	savedVersion uint64
	// unsavedCheckpoints says that tasks have checkpoints which the store does not have, written is when the job was last put into a batch.
	unsavedCheckpoints bool
	batchedAt          time.Time
	failedHosts        map[job.Host]bool
	// suspectedSince are the tasks that wait to start alone, with since when.
	suspectedSince map[job.TaskID]time.Time
	// backoffs hold back tasks whose runs end quickly.
	backoffs map[job.TaskID]backoff
}

// updateIdle takes note of since when nothing of the job runs.
func (k *trackedJob) updateIdle(now time.Time) {
	placed := false
	k.job.Each(func(_ job.TaskID, task *job.Task) { placed = placed || task.Phase() == job.Placed })
	switch {
	case placed:
		k.idleSince = time.Time{}
	case k.idleSince.IsZero():
		k.idleSince = now
	}
}
