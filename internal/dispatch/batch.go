package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// maxRecords leaves space in a transaction of kv.MaxEntries for two puts and two conditions, those of the last commit and
// of the leader record, for the models of interference and of run times, and for the bound of the leases.
const maxRecords = kv.MaxEntries - 7

// maxBatchBytes is the size of the progress records from which a batch gets no further one: a commit must pass the slowest links within its timeout.
const maxBatchBytes = 256 << 10

// checkpointInterval is the least time between two writes of a job that are due to checkpoints alone: tasks save a
// checkpoint once or twice a second, and a record has up to some kilobytes.
const checkpointInterval = time.Second

// batch is the content of one transaction and the state to update once it is committed.
type batch struct {
	txn      kv.Txn
	versions map[*trackedJob]uint64
	runs     []batchedRun
	removed  []job.ID
	// expired are the jobs whose tombstones are removed.
	expired []job.ID
	// bytes is the size of the progress records, models reports whether the batch has models, alone whether it has the record of an isolated job.
	bytes  int
	models bool
	alone  bool
	// reacquire reports whether the batch writes the leader record under a new lease.
	reacquire bool
}

// batchedRun is a run that a batch commits for the first time.
type batchedRun struct {
	id   job.TaskID
	host job.Host
	run  int
}

// nextBatch returns the changes to commit next, nil if there are none.
func (t *term) nextBatch() (*batch, error) {
	b := &batch{versions: make(map[*trackedJob]uint64), reacquire: t.leaseReplaced}
	if b.reacquire {
		leader, err := t.leaderPut()
		if err != nil {
			return nil, err
		}
		b.txn.Conditions = []kv.Condition{{Key: record.LeaderKey}}
		b.txn.Puts = []kv.Put{leader}
	}
	if err := t.addChanged(b); err != nil {
		return nil, err
	}
	if len(b.versions) == 0 && len(b.txn.Removes) == 0 && !b.reacquire {
		return nil, nil
	}
	lastCommit, err := t.lastCommitPut(t.commitCount + 1)
	if err != nil {
		return nil, err
	}
	b.txn.Conditions = append(b.txn.Conditions, kv.Condition{Key: record.LastCommitKey, Revision: t.lastCommitRevision})
	b.txn.Puts = append(b.txn.Puts, lastCommit)
	t.addModels(b)
	if err := t.addLeases(&b.txn); err != nil {
		return nil, err
	}
	b.collectRuns(t)
	return b, nil
}

// addChanged adds the changed jobs that fit into a batch, then due checkpoints and removals; an isolated job is added alone.
func (t *term) addChanged(b *batch) error {
	for _, id := range t.sortedDirty() {
		if len(b.versions) == maxRecords || b.bytes >= maxBatchBytes {
			break
		}
		if t.isolated[id] && len(b.versions) > 0 {
			continue
		}
		delete(t.dirty, id)
		if err := t.addProgress(b, t.jobs[id]); err != nil {
			return err
		}
		if b.alone = t.isolated[id]; b.alone {
			return nil
		}
	}
	if err := t.addCheckpoints(b); err != nil {
		return err
	}
	if !t.removalsRefused {
		t.addRemovals(b)
		t.addExpiredTombstones(b)
	}
	return nil
}

// addProgress adds the progress record of a job; nil stands for a job that was removed.
func (t *term) addProgress(b *batch, tracked *trackedJob) error {
	if tracked == nil {
		return nil
	}
	maxCheckpoints := job.MaxStoredCheckpoints
	if tracked.omitsCheckpoints {
		maxCheckpoints = 0
	}
	value, omitted, err := tracked.job.EncodeProgress(maxCheckpoints, func(h job.Host) job.HostState {
		return job.HostState{Lease: t.remainingLease(h), Unsettled: t.hasUnsettled(h, tracked.job.ID())}
	})
	if err != nil {
		return err
	}
	t.recordOmittedCheckpoints(tracked, omitted)
	b.txn.Puts = append(b.txn.Puts, kv.Put{Key: record.ProgressKey(tracked.job.ID()), Value: value})
	b.versions[tracked] = tracked.version
	b.bytes += len(value)
	tracked.unsavedCheckpoints, tracked.batchedAt = false, time.Now()
	return nil
}

// recordOmittedCheckpoints logs a change of how many checkpoints of a job the store does not have for their length.
func (t *term) recordOmittedCheckpoints(tracked *trackedJob, omitted int) {
	if omitted == tracked.omittedCheckpoints {
		return
	}
	tracked.omittedCheckpoints = omitted
	t.logger.Warn("checkpoints are left out of the progress of a job; job=%s omitted=%d", tracked.job.ID(), omitted)
}

// addCheckpoints adds jobs with new checkpoints to a batch that is not empty, so that little work is repeated if all VMs
// are lost at once.
func (t *term) addCheckpoints(b *batch) error {
	if len(b.versions) == 0 {
		return nil
	}
	var due []job.ID
	for id, tracked := range t.jobs {
		if tracked.unsavedCheckpoints && !b.contains(tracked) && !t.isolated[id] && time.Since(tracked.batchedAt) >= checkpointInterval {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due[:min(len(due), maxRecords-len(b.versions))] {
		if b.bytes >= maxBatchBytes {
			return nil
		}
		if err := t.addProgress(b, t.jobs[id]); err != nil {
			return err
		}
	}
	return nil
}

// collectRuns records the runs that the batch commits for the first time.
func (b *batch) collectRuns(t *term) {
	for tracked := range b.versions {
		tracked.job.Each(func(id job.TaskID, task *job.Task) {
			if task.Phase() != job.Placed {
				return
			}
			h := t.hosts.get(task.Host())
			if h == nil || h.runs[id] == nil || h.runs[id].committed {
				return
			}
			b.runs = append(b.runs, batchedRun{id: id, host: task.Host(), run: h.runs[id].number})
		})
	}
	slices.SortFunc(b.runs, func(x, y batchedRun) int { return cmp.Or(compareHosts(x.host, y.host), compareTasks(x.id, y.id)) })
}

func (b *batch) contains(tracked *trackedJob) bool {
	_, ok := b.versions[tracked]
	return ok
}
