package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/job"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// mostRecords leaves room in a transaction of kv.MaxEntries for two puts and two conditions of the chain and the lead, and
// for what was learned.
const mostRecords = kv.MaxEntries - 6

// checkpointEvery is the least time between two records of a job for its checkpoints alone: tasks save their progress once or
// twice a second, and a record has up to some kilobytes.
const checkpointEvery = time.Second

// batch is what one transaction writes.
type batch struct {
	change   kv.Txn
	versions map[*tracked]uint64
	runs     []batchedRun
	removed  []job.ID
	// relock says that the batch enters the lead under a new lease.
	relock bool
}

// batchedRun is a run that a batch commits for the first time.
type batchedRun struct {
	id   job.TaskID
	host job.Host
	run  int
}

// batch gathers what changed, nil where nothing did.
func (t *term) batch() (*batch, error) {
	b := &batch{versions: make(map[*tracked]uint64), relock: t.relock}
	if b.relock {
		lead, err := t.leadPut()
		if err != nil {
			return nil, err
		}
		b.change.Conditions = []kv.Condition{{Key: record.LeadKey}}
		b.change.Puts = []kv.Put{lead}
	}
	for _, id := range t.dirtyInOrder() {
		if len(b.versions) == mostRecords {
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
	t.sweep(b)
	if len(b.versions) == 0 && len(b.removed) == 0 && !b.relock {
		return nil, nil
	}
	chain, err := t.chainPut(t.commits + 1)
	if err != nil {
		return nil, err
	}
	b.change.Conditions = append(b.change.Conditions, kv.Condition{Key: record.ChainKey, Revision: t.chain})
	b.change.Puts = append(b.change.Puts, chain)
	t.addLearned(b)
	b.collect(t)
	return b, nil
}

// add writes how far a job is, unless the job is forgotten.
func (b *batch) add(known *tracked) error {
	if known == nil {
		return nil
	}
	value, err := known.job.EncodeProgress()
	if err != nil {
		return err
	}
	b.change.Puts = append(b.change.Puts, kv.Put{Key: record.ProgressKey(known.job.ID()), Value: value})
	b.versions[known] = known.version
	known.unsaved, known.written = false, time.Now()
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
		if known.unsaved && !b.has(known) && time.Since(known.written) >= checkpointEvery {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due[:min(len(due), mostRecords-len(b.versions))] {
		if err := b.add(t.jobs[id]); err != nil {
			return err
		}
	}
	return nil
}

// collect notes the runs that the batch commits for the first time.
func (b *batch) collect(t *term) {
	for known := range b.versions {
		known.job.Each(func(id job.TaskID, task *job.Task) {
			if task.Phase() != job.Placed {
				return
			}
			h := t.hosts.get(task.Host())
			if h == nil || h.runs[id] == nil || h.runs[id].committed {
				return
			}
			b.runs = append(b.runs, batchedRun{id: id, host: task.Host(), run: h.runs[id].run})
		})
	}
	slices.SortFunc(b.runs, func(x, y batchedRun) int { return cmp.Or(compareHosts(x.host, y.host), compareTasks(x.id, y.id)) })
}

func (b *batch) has(known *tracked) bool {
	_, ok := b.versions[known]
	return ok
}

// sweep removes the records of jobs that ended long ago.
func (t *term) sweep(b *batch) {
	const keysOfJob = 3
	for id, known := range t.jobs {
		if len(b.versions)+keysOfJob*(len(b.removed)+1) > mostRecords {
			return
		}
		if known.ended.IsZero() || time.Since(known.ended) < keepEnded || known.saved < known.version {
			continue
		}
		b.removed = append(b.removed, id)
		b.change.Removes = append(b.change.Removes, record.ProgressKey(id), record.JobKey(id), record.CancelKey(id))
	}
}
