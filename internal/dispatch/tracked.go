package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
)

// tracked is a job with what the lead notes of it.
type tracked struct {
	job *job.Job
	// since is when the job was accepted, by the lead's own clock.
	since time.Time
	ended time.Time
	// idle is since when nothing of the job runs, zero while something does.
	idle time.Time
	// version counts the changes, saved is the version that the store has.
	version uint64
	saved   uint64
	// unsaved says that tasks have checkpoints which the store does not have, written is when the job was last put into a batch.
	unsaved bool
	written time.Time
	failed  map[job.Host]bool
	// suspects are the tasks that wait to start alone, with since when.
	suspects map[job.TaskID]time.Time
	// backoffs hold back tasks whose runs end quickly.
	backoffs map[job.TaskID]backoff
}

// noteIdle takes note of since when nothing of the job runs.
func (k *tracked) noteIdle(now time.Time) {
	placed := false
	k.job.Each(func(_ job.TaskID, task *job.Task) { placed = placed || task.Phase() == job.Placed })
	switch {
	case placed:
		k.idle = time.Time{}
	case k.idle.IsZero():
		k.idle = now
	}
}
