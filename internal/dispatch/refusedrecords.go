package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/job"
)

const (
	// minRefusedDelay and maxRefusedDelay bound the delay before a record that the store refuses by itself is committed again.
	minRefusedDelay = time.Second
	maxRefusedDelay = 30 * time.Second
)

// refusesContent reports whether an error means that the store refuses the content of a transaction, which a retry doesn't change.
func refusesContent(err error) bool {
	return fault.Is(err, fault.BadInput) || fault.Is(err, fault.TooLarge)
}

// narrowRefusal finds the part of a refused batch for which the store refuses it: all changes of the batch are committed again, without the models and
// removals and with one record at a time, and a record that is refused alone without its checkpoints. One that is refused even so is suspended, so that it
// holds up no other. It reports whether that leaves less to commit.
func (t *term) narrowRefusal(b *batch, reason error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dispatcher.config.Metrics.Counter("lead.refused_batches").Inc(1)
	t.logger.Error("the store refuses a batch; commit=%d records=%d bytes=%d models=%t removed=%d reason=%v",
		t.commitCount+1, len(b.versions), b.bytes, b.models, len(b.txn.Removes), reason)
	// An earlier attempt that got no answer must not pass for the next batch.
	t.commitCount++
	// The bound of the leases may have been part of the batch.
	t.leasesStored = false
	for tracked := range b.versions {
		t.enqueue(tracked)
	}
	switch {
	case len(b.versions) > 1:
		for tracked := range b.versions {
			t.isolated[tracked.job.ID()] = true
		}
	case b.models:
		t.modelsRefused = true
	case len(b.txn.Removes) > 0:
		t.removalsRefused = true
	case len(b.versions) == 1:
		for tracked := range b.versions {
			t.reduceRecord(tracked, b.bytes)
		}
	default:
		return false
	}
	return true
}

// reduceRecord leaves the checkpoints out of a record that was refused alone, or suspends its job if it has none.
func (t *term) reduceRecord(tracked *trackedJob, bytes int) {
	id := tracked.job.ID()
	t.isolated[id] = true
	if !tracked.omitsCheckpoints {
		tracked.omitsCheckpoints = true
		return
	}
	tracked.refusedDelay = min(max(2*tracked.refusedDelay, minRefusedDelay), maxRefusedDelay)
	tracked.suspendedUntil = time.Now().Add(tracked.refusedDelay)
	delete(t.dirty, id)
	t.withdrawPlacements(tracked)
	t.logger.Error("progress refused by the store, job suspended; job=%s bytes=%d retry_ms=%d",
		id, bytes, tracked.refusedDelay.Milliseconds())
}

// withdrawPlacements makes the tasks of a job placeable again whose runs the store does not have.
func (t *term) withdrawPlacements(tracked *trackedJob) {
	tracked.job.Each(func(id job.TaskID, task *job.Task) {
		h := t.hosts.get(task.Host())
		if task.Phase() != job.Placed || h == nil || h.runs[id] == nil || h.runs[id].committed {
			return
		}
		h.removeRun(id, task.Run())
		tracked.job.Unplace(id, task.Run())
	})
}

// suspended reports whether the store refuses the progress of the job: nothing of it starts, and its changes wait.
func (j *trackedJob) suspended() bool { return !j.suspendedUntil.IsZero() }

// resumeSuspended commits the progress of suspended jobs again once their delays are over.
func (t *term) resumeSuspended(now time.Time) {
	for id := range t.isolated {
		if tracked := t.jobs[id]; tracked != nil && tracked.suspended() && now.After(tracked.suspendedUntil) {
			tracked.suspendedUntil = time.Time{}
			t.enqueue(tracked)
		}
	}
}

// enqueue adds a job to those to commit unless it is suspended or has been removed.
func (t *term) enqueue(tracked *trackedJob) {
	id := tracked.job.ID()
	if _, queued := t.dirty[id]; queued || tracked.suspended() || t.jobs[id] != tracked {
		return
	}
	t.changeCount++
	t.dirty[id] = t.changeCount
}
