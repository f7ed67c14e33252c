package dispatch

import (
	"maps"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// untrackedJobs has the jobs whose records the leader may read, and which are not run.
type untrackedJobs struct {
	// tombstones has the jobs that were canceled before they were accepted, with when the leader learned of it.
	tombstones map[job.ID]time.Time
	// removed has the jobs removed from the store that the inputs may still show, with the revision of the removal.
	removed map[job.ID]kv.Revision
	// unreadable has the jobs whose progress cannot be read.
	unreadable map[job.ID]bool
}

func newUntrackedJobs() untrackedJobs {
	return untrackedJobs{tombstones: make(map[job.ID]time.Time), removed: make(map[job.ID]kv.Revision), unreadable: make(map[job.ID]bool)}
}

// addRemovals adds the removal of jobs whose retention after the end is over.
func (t *term) addRemovals(b *batch) {
	const keysPerJob = 3
	for id, tracked := range t.jobs {
		if len(b.versions)+keysPerJob*(len(b.removed)+1) > maxRecords {
			return
		}
		if tracked.endedAt.IsZero() || time.Since(tracked.endedAt) < endedJobRetention || tracked.savedVersion < tracked.version {
			continue
		}
		b.removed = append(b.removed, id)
		b.txn.Removes = append(b.txn.Removes, record.ProgressKey(id), record.JobKey(id), record.CancelKey(id))
	}
}

// addTombstone records the tombstone of a job that was canceled before it was accepted.
func (t *term) addTombstone(id job.ID) {
	if _, known := t.untracked.tombstones[id]; known {
		return
	}
	t.untracked.tombstones[id] = time.Now()
	t.logger.Info("job canceled before it was accepted; job=%s", id)
}

// addExpiredTombstones adds the removal of tombstones whose retention is over, far longer than a write of the job may be under way. Only the leader
// removes them and nothing replaces them, so the removal needs no condition of its own.
func (t *term) addExpiredTombstones(b *batch) {
	for id, since := range t.untracked.tombstones {
		if len(b.versions)+len(b.txn.Removes) >= maxRecords {
			return
		}
		if time.Since(since) < endedJobRetention {
			continue
		}
		b.expired = append(b.expired, id)
		b.txn.Removes = append(b.txn.Removes, record.JobKey(id))
	}
}

// applyRemovals drops the jobs and tombstones that a batch has removed from the store at a revision.
func (t *term) applyRemovals(b *batch, revision kv.Revision) {
	for _, id := range b.removed {
		maps.DeleteFunc(t.advice, func(s stepID, _ *advice) bool { return s.job == id })
		delete(t.jobs, id)
		t.forgetJob(id)
		t.untracked.removed[id] = revision
	}
	for _, id := range b.expired {
		delete(t.untracked.tombstones, id)
		t.untracked.removed[id] = revision
	}
}

// wasRemoved reports whether a record is older than its removal, as in a read that the store answered before.
func (u *untrackedJobs) wasRemoved(id job.ID, item kv.Item) bool {
	removedAt, known := u.removed[id]
	return known && item.Revision() <= removedAt
}

// forgetRemovals drops the removals up to a revision that the inputs have reached: no later change has records from before.
func (u *untrackedJobs) forgetRemovals(reached kv.Revision) {
	maps.DeleteFunc(u.removed, func(_ job.ID, removedAt kv.Revision) bool { return removedAt <= reached })
}
