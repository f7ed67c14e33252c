package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// inputTiming is how one lead follows the accepted jobs: what waits in an outage is taken a tenth of a second after its end.
var inputTiming = follow.Timing{Wait: 1500 * time.Millisecond, Retry: 100 * time.Millisecond}

// watchInputs takes the jobs and cancellations that entries write.
func (t *term) watchInputs(ctx context.Context) error {
	t.inputsFollower().Run(ctx, t.inputsRevision)
	return ctx.Err()
}

func (t *term) inputsFollower() *follow.Prefix {
	return follow.NewPrefix(t.store, record.InputPrefix, inputTiming, t.applyInputs, t.logger)
}

func (t *term) applyInputs(c follow.Change) error {
	var items []kv.Item
	for _, e := range c.Events {
		if !e.Gone() {
			items = append(items, e.Item())
		}
	}
	if len(items) == 0 {
		return nil
	}
	t.mu.Lock()
	for _, i := range items {
		t.addJob(i)
	}
	for _, i := range items {
		t.applyCancel(i)
	}
	t.mu.Unlock()
	t.wakeUp()
	return nil
}

func (t *term) addJob(i kv.Item) {
	id, ok := record.ParseJobKey(i.Key())
	if !ok || t.jobs[id] != nil {
		return
	}
	decoded, err := job.Decode(id, i.Value())
	if err != nil {
		t.logger.Error("an accepted job cannot be read; job=%s reason=%v", id, err)
		return
	}
	t.jobs[id] = newTracked(decoded)
}

func newTracked(j *job.Job) *trackedJob {
	return &trackedJob{
		job: j, acceptedAt: localAcceptTime(j.Accepted()), failedHosts: make(map[job.Host]bool), suspectedSince: make(map[job.TaskID]time.Time),
		backoffs: make(map[job.TaskID]backoff),
	}
}

// localAcceptTime returns when a job was accepted by this clock, which may differ from the entry's.
func localAcceptTime(accepted time.Time) time.Time {
	const likely = 5 * time.Minute
	now := time.Now()
	age := now.Sub(accepted)
	if age < 0 || age > likely {
		return now
	}
	return now.Add(-age)
}

func (t *term) applyCancel(i kv.Item) {
	id, ok := record.ParseCancelKey(i.Key())
	if !ok {
		return
	}
	known := t.jobs[id]
	if known == nil || !known.job.Cancel() {
		return
	}
	t.logger.Info("job canceled; job=%s", id)
	t.stopRuns(known)
	t.markDirty(known)
}

// markDirty takes note that a job changed and has to be committed.
func (t *term) markDirty(known *trackedJob) {
	known.version++
	if _, waits := t.dirty[known.job.ID()]; !waits {
		t.changeCount++
		t.dirty[known.job.ID()] = t.changeCount
	}
}

// stopRuns begins to stop what still runs of a job that ended.
func (t *term) stopRuns(known *trackedJob) {
	known.endedAt = time.Now()
	known.job.Each(func(id job.TaskID, task *job.Task) {
		if task.Phase() == job.Placed {
			t.requestStop(id, task)
		}
	})
}
