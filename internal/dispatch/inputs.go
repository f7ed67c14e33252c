package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// inputTiming is the timing of the leader's follower of accepted jobs: jobs that wait in an outage of the store are loaded
// a tenth of a second after its end.
var inputTiming = follow.Timing{Wait: 1500 * time.Millisecond, MaxRetryDelay: 100 * time.Millisecond}

// watchInputs follows the jobs and cancellations that entries write.
func (t *term) watchInputs(ctx context.Context) error {
	t.inputsFollower().Run(ctx, t.inputsRevision)
	return ctx.Err()
}

func (t *term) inputsFollower() *follow.PrefixFollower {
	return follow.NewPrefixFollower(t.store, record.InputPrefix, inputTiming, t.applyInputs, t.logger)
}

func (t *term) applyInputs(c follow.Change) error {
	var items []kv.Item
	for _, e := range c.Events {
		if !e.Removed() {
			items = append(items, e.Item())
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range items {
		if t.replaced(item) {
			// The removal of the earlier job is committed and about to be applied; the change is read again.
			return fault.New(fault.Conflict, "%s belongs to a later job of a name whose removal is not applied yet", item.Key())
		}
	}
	for _, item := range items {
		t.addJob(item)
	}
	for _, item := range items {
		t.applyCancel(item)
	}
	t.untracked.forgetRemovals(c.Revision)
	if len(items) > 0 {
		t.notifyChange()
	}
	return nil
}

// replaced reports whether an item is the record of a later job than the tracked one of its name.
func (t *term) replaced(item kv.Item) bool {
	id, _ := record.ParseJobKey(item.Key())
	tracked := t.jobs[id]
	return tracked != nil && item.Revision() > tracked.acceptedRevision
}

func (t *term) addJob(item kv.Item) {
	id, ok := record.ParseJobKey(item.Key())
	if !ok || t.jobs[id] != nil || t.untracked.unreadable[id] {
		return
	}
	if t.untracked.wasRemoved(id, item) {
		t.logger.Info("record of a removed job ignored; job=%s revision=%d removed_at=%d", id, item.Revision(), t.untracked.removed[id])
		return
	}
	if record.IsTombstone(item.Value()) {
		t.addTombstone(id)
		return
	}
	decoded, err := job.Decode(id, item.Value())
	if err != nil {
		t.logger.Error("record of an accepted job is unreadable; job=%s reason=%v", id, err)
		return
	}
	t.jobs[id] = newTracked(decoded)
	t.jobs[id].acceptedRevision = item.Revision()
}

func newTracked(j *job.Job) *trackedJob {
	return &trackedJob{
		job: j, acceptedAt: localAcceptTime(j.Accepted()), failedHosts: make(map[job.Host]bool), suspectedSince: make(map[job.TaskID]time.Time),
		idleTasks: make(map[job.TaskID]idleTask), backoffs: make(map[job.TaskID]backoff), failedOn: make(map[job.TaskID][]job.Host), lastAttempts: make(map[job.TaskID]lastAttempt),
		excludedWaits: make(map[job.TaskID]excludedWait),
		gangFailures:  make(map[gangWorker]int),
	}
}

// localAcceptTime returns when a job was accepted by the local clock. An age that is negative or above five minutes is
// taken for a clock that differs, and the job for accepted now.
func localAcceptTime(accepted time.Time) time.Time {
	const maxAge = 5 * time.Minute
	now := time.Now()
	age := now.Sub(accepted)
	if age < 0 || age > maxAge {
		return now
	}
	return now.Add(-age)
}

func (t *term) applyCancel(item kv.Item) {
	id, ok := record.ParseCancelKey(item.Key())
	if !ok {
		return
	}
	tracked := t.jobs[id]
	if tracked == nil || item.Revision() < tracked.acceptedRevision {
		t.logger.Info("cancellation without its job ignored; job=%s revision=%d", id, item.Revision())
		return
	}
	if !tracked.job.Cancel() {
		return
	}
	t.logger.Info("job canceled; job=%s", id)
	t.stopRuns(tracked)
	t.markDirty(tracked)
}

// markDirty records that a job changed and has to be committed.
func (t *term) markDirty(tracked *trackedJob) {
	tracked.version++
	t.enqueue(tracked)
}

// stopRuns requests the stop of all remaining runs of a job that ended.
func (t *term) stopRuns(tracked *trackedJob) {
	tracked.endedAt = time.Now()
	tracked.job.Each(func(id job.TaskID, task *job.Task) {
		if task.Phase() == job.Placed {
			t.requestStop(id, task)
		}
	})
}
