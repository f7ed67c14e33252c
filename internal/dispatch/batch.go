package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// maxRecords leaves room in a transaction of kv.MaxEntries for two puts and two conditions of the chain and the lead, and
// for what was learned.
const maxRecords = kv.MaxEntries - 6

// checkpointInterval is the least time between two records of a job for its checkpoints alone: tasks save their progress once or
// twice a second, and a record has up to some kilobytes.
const checkpointInterval = time.Second

// batch is what one transaction writes.
type batch struct {
	txn      kv.Txn
	versions map[*trackedJob]uint64
	runs     []batchedRun
	removed  []job.ID
	// reacquire says that the batch enters the lead under a new lease.
	reacquire bool
}

// batchedRun is a run that a batch commits for the first time.
type batchedRun struct {
	id   job.TaskID
	host job.Host
	run  int
}

// nextBatch gathers what changed, nil where nothing did.
func (t *term) nextBatch() (*batch, error) {
	b := &batch{versions: make(map[*trackedJob]uint64), reacquire: t.leaseReplaced}
	if b.reacquire {
		lead, err := t.leaderPut()
		if err != nil {
			return nil, err
		}
		b.txn.Conditions = []kv.Condition{{Key: record.LeaderKey}}
		b.txn.Puts = []kv.Put{lead}
	}
	for _, id := range t.sortedDirty() {
		if len(b.versions) == maxRecords {
			break
		}
		delete(t.dirty, id)
		if err := b.add(t.jobs[id]); err != nil {
			return nil, err
		}
	}
	if err := t.addCheckpoints(b); err != nil {
		return nil, err
	}
	t.addRemovals(b)
	if len(b.versions) == 0 && len(b.removed) == 0 && !b.reacquire {
		return nil, nil
	}
	chain, err := t.chainPut(t.commitCount + 1)
	if err != nil {
		return nil, err
	}
	b.txn.Conditions = append(b.txn.Conditions, kv.Condition{Key: record.LastCommitKey, Revision: t.chainRevision})
	b.txn.Puts = append(b.txn.Puts, chain)
	t.addModel(b)
	b.collectRuns(t)
	return b, nil
}

// add writes how far a job is, unless the job is forgotten.
func (b *batch) add(known *trackedJob) error {
	if known == nil {
		return nil
	}
	value, err := known.job.EncodeProgress()
	if err != nil {
		return err
	}
	b.txn.Puts = append(b.txn.Puts, kv.Put{Key: record.ProgressKey(known.job.ID()), Value: value})
	b.versions[known] = known.version
	known.unsavedCheckpoints, known.batchedAt = false, time.Now()
	return nil
}

// addCheckpoints adds jobs with new checkpoints to a batch that is written anyway, so that little is run again where all VMs
// are lost at once.
func (t *term) addCheckpoints(b *batch) error {
	if len(b.versions) == 0 {
		return nil
	}
	var due []job.ID
	for id, known := range t.jobs {
		if known.unsavedCheckpoints && !b.contains(known) && time.Since(known.batchedAt) >= checkpointInterval {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due[:min(len(due), maxRecords-len(b.versions))] {
		if err := b.add(t.jobs[id]); err != nil {
			return err
		}
	}
	return nil
}

// collectRuns notes the runs that the batch commits for the first time.
func (b *batch) collectRuns(t *term) {
	for known := range b.versions {
		known.job.Each(func(id job.TaskID, task *job.Task) {
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

func (b *batch) contains(known *trackedJob) bool {
	_, ok := b.versions[known]
	return ok
}

// addRemovals removes the records of jobs that ended long ago.
func (t *term) addRemovals(b *batch) {
	const keysOfJob = 3
	for id, known := range t.jobs {
		if len(b.versions)+keysOfJob*(len(b.removed)+1) > maxRecords {
			return
		}
		if known.endedAt.IsZero() || time.Since(known.endedAt) < endedJobRetention || known.savedVersion < known.version {
			continue
		}
		b.removed = append(b.removed, id)
		b.txn.Removes = append(b.txn.Removes, record.ProgressKey(id), record.JobKey(id), record.CancelKey(id))
	}
}
