package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/estimate"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
)

// trackedJob is a job with the leader's records of it.
type trackedJob struct {
	job *job.Job
	// acceptedAt is when the job was accepted, by the leader's own clock.
	acceptedAt time.Time
	// acceptedRevision is the revision of the job's record.
	acceptedRevision kv.Revision
	endedAt          time.Time
	// idleSince is when the last placed task of the job ended, zero while a task is placed.
	idleSince time.Time
	// version counts the changes, savedVersion is the last version committed to the store.
	version      uint64
	savedVersion uint64
	// unsavedCheckpoints reports whether tasks have checkpoints that are not in the store, batchedAt is when the job was last added to a batch.
	unsavedCheckpoints bool
	// omittedCheckpoints counts the checkpoints that the latest progress record leaves out.
	omittedCheckpoints int
	// omitsCheckpoints is set once the store has refused the record with checkpoints; refusedDelay is the delay after the latest refusal without, and
	// suspendedUntil its end, zero unless the job waits for it.
	omitsCheckpoints bool
	refusedDelay     time.Duration
	suspendedUntil   time.Time
	batchedAt        time.Time
	failedHosts      map[job.Host]bool
	// suspectedSince has the tasks that wait to start alone on a worker, with the start of the wait.
	suspectedSince map[job.TaskID]time.Time
	// idleTasks are the long-running tasks that do not run.
	idleTasks map[job.TaskID]idleTask
	// backoffs delay the restart of tasks whose runs end quickly.
	backoffs map[job.TaskID]backoff
	// gangFailures has the latest failed or stalled run of each gang by the worker of the members that failed.
	gangFailures map[gangWorker]int
	// failedOn has the workers on which runs of a finite task have failed, lastAttempts the tasks on their last attempt that wait for a healthy
	// worker, excludedWaits those that wait for one that is not excluded; all have a gang by its first member and are only used where the health of
	// workers is tracked.
	failedOn      map[job.TaskID][]job.Host
	lastAttempts  map[job.TaskID]lastAttempt
	excludedWaits map[job.TaskID]excludedWait
	// endedTasks has the run times of the ended tasks of each step, as far as they count as evidence.
	endedTasks map[stepID]*estimate.Step
}

// gangWorker is a gang, by its first member, and a worker of some of its members.
type gangWorker struct {
	gang   job.TaskID
	worker job.Host
}

// isNewFailure records the failure or stall of a run on a worker and reports whether it is new evidence about the worker: members of a gang that
// fail there in one run are evidence once.
func (j *trackedJob) isNewFailure(id job.TaskID, run int, worker job.Host) bool {
	if !j.job.Spec().Steps[id.Step].Gang {
		return true
	}
	key := gangWorker{gang: j.job.Unit(id), worker: worker}
	if run <= j.gangFailures[key] {
		return false
	}
	j.gangFailures[key] = run
	return true
}

// updateIdle records the time since which no task of the job is placed.
func (j *trackedJob) updateIdle(now time.Time) {
	placed := false
	j.job.Each(func(_ job.TaskID, task *job.Task) { placed = placed || task.Phase() == job.Placed })
	switch {
	case placed:
		j.idleSince = time.Time{}
	case j.idleSince.IsZero():
		j.idleSince = now
	}
}
