package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// inputWait is how long the watch of accepted jobs waits.
	inputWait = 1500 * time.Millisecond
	// inputPause follows a failed call.
	inputPause = 100 * time.Millisecond
)

// watchInputs takes the jobs and cancellations that entries write.
func (t *term) watchInputs(ctx context.Context) error {
	after := t.inputs
	for ctx.Err() == nil {
		next, err := t.nextInputs(ctx, after)
		if err != nil {
			if ctx.Err() == nil {
				t.logger.Warn("the watch of accepted jobs failed; revision=%d reason=%v", after, err)
				wait.For(ctx, inputPause)
			}
			if fault.Is(err, fault.Stale) {
				after = 0
			}
			continue
		}
		after = next
	}
	return ctx.Err()
}

func (t *term) nextInputs(ctx context.Context, after kv.Revision) (kv.Revision, error) {
	if after == 0 {
		items, at, err := t.store.Range(ctx, record.Inputs)
		if err != nil {
			return 0, err
		}
		t.takeInputs(items)
		return at, nil
	}
	events, at, err := t.store.Watch(ctx, record.Inputs, after, inputWait)
	if err != nil {
		return 0, err
	}
	var items []kv.Item
	for _, e := range events {
		if !e.Gone() {
			items = append(items, e.Item())
		}
	}
	t.takeInputs(items)
	return at, nil
}

func (t *term) takeInputs(items []kv.Item) {
	if len(items) == 0 {
		return
	}
	t.mu.Lock()
	for _, i := range items {
		t.takeJob(i)
	}
	for _, i := range items {
		t.takeCancel(i)
	}
	t.mu.Unlock()
	t.wakeUp()
}

func (t *term) takeJob(i kv.Item) {
	id, ok := record.JobOf(i.Key())
	if !ok || t.jobs[id] != nil {
		return
	}
	decoded, err := job.Decode(id, i.Value())
	if err != nil {
		t.logger.Error("an accepted job cannot be read; job=%s reason=%v", id, err)
		return
	}
	t.jobs[id] = &tracked{job: decoded, since: sinceAccepted(decoded.Accepted()), failed: make(map[job.Host]bool)}
}

// sinceAccepted returns when a job was accepted by this clock, which may differ from the entry's.
func sinceAccepted(accepted time.Time) time.Time {
	const likely = 5 * time.Minute
	now := time.Now()
	age := now.Sub(accepted)
	if age < 0 || age > likely {
		return now
	}
	return now.Add(-age)
}

func (t *term) takeCancel(i kv.Item) {
	id, ok := record.CancelOf(i.Key())
	if !ok {
		return
	}
	known := t.jobs[id]
	if known == nil || !known.job.Cancel() {
		return
	}
	t.logger.Info("job canceled; job=%s", id)
	t.finish(known)
	t.touch(known)
}

// touch takes note that a job changed and has to be committed.
func (t *term) touch(known *tracked) {
	known.version++
	if _, waits := t.dirty[known.job.ID()]; !waits {
		t.changes++
		t.dirty[known.job.ID()] = t.changes
	}
}

// finish begins to stop what still runs of a job that ended.
func (t *term) finish(known *tracked) {
	known.ended = time.Now()
	known.job.Each(func(id job.TaskID, task *job.Task) {
		if task.Phase() == job.Placed {
			t.stop(id, task)
		}
	})
}
