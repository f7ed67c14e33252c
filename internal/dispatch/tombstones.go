package dispatch

import (
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// addTombstone records the tombstone of a job that was canceled before it was accepted.
func (t *term) addTombstone(id job.ID) {
	if _, known := t.tombstones[id]; known {
		return
	}
	t.tombstones[id] = time.Now()
	t.logger.Info("job canceled before it was accepted; job=%s", id)
}

// addExpiredTombstones adds the removal of tombstones whose retention is over, far longer than a write of the job may be under way. Only the leader
// removes them and nothing replaces them, so the removal needs no condition of its own.
func (t *term) addExpiredTombstones(b *batch) {
	for id, since := range t.tombstones {
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
