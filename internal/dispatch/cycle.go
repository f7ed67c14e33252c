package dispatch

import (
	"context"
	"maps"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const (
	// minCommitRetryDelay and retryLast bound the pause before a commit is repeated.
	minCommitRetryDelay = 15 * time.Millisecond
	maxCommitRetryDelay = 250 * time.Millisecond
)

// schedule gives up what is lost and places what waits.
func (t *term) schedule() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireWorkers()
	t.stopStalled()
	t.moveFromDraining()
	t.placeTasks()
}

// commitChanges commits what one transaction holds of what changed, and sends the orders that the commit allows.
func (t *term) commitChanges(ctx context.Context) error {
	t.mu.Lock()
	b, err := t.nextBatch()
	t.mu.Unlock()
	if err != nil {
		return err
	}
	if b != nil {
		if err := t.commit(ctx, b); err != nil {
			return err
		}
	}
	t.flush()
	return t.verifyLeadership(ctx)
}

// allCommitted reports whether all that changed is committed.
func (t *term) allCommitted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.dirty) == 0
}

// commit writes the batch, however often it takes, and then lets its runs start.
func (t *term) commit(ctx context.Context, b *batch) error {
	pause := minCommitRetryDelay
	patience := t.commitTimeouts.First()
	for {
		asked, began := time.Now(), t.now()
		revision, err := t.commitOnce(ctx, b.txn, patience)
		if fault.Is(err, fault.Conflict) {
			revision, err = t.committedRevision(ctx, t.commitCount+1)
		}
		patience = t.commitTimeouts.Extend(patience)
		t.notifyEntries()
		if err == nil {
			t.commitTimeouts.Observe(time.Since(asked))
			t.applyCommit(b, revision, began)
			return nil
		}
		if fault.Is(err, fault.Stale) || ctx.Err() != nil {
			return err
		}
		t.logger.Warn("a commit is repeated; commit=%d records=%d reason=%v", t.commitCount+1, len(b.versions), err)
		if fault.Is(err, fault.NotFound) {
			return fault.Wrap(err, fault.Stale, "the lease of the lead is over")
		}
		select {
		case <-ctx.Done():
		case <-t.storeAnswered:
			pause, patience = minCommitRetryDelay, t.commitTimeouts.First()
		case <-time.After(pause):
			pause = min(2*pause, maxCommitRetryDelay)
		}
	}
}

const (
	// minCommitTimeout and patienceLast bound how long an attempt to commit waits for its answer; a commit is safe to repeat,
	// and one whose answer is lost holds all placements up.
	minCommitTimeout = 120 * time.Millisecond
	maxCommitTimeout = 900 * time.Millisecond
)

// commitOnce attempts a commit with bounded patience.
func (t *term) commitOnce(ctx context.Context, change kv.Txn, patience time.Duration) (kv.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return t.store.Commit(bounded, change)
}

// applyCommit takes note of what the store has now.
func (t *term) applyCommit(b *batch, revision kv.Revision, began boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chainRevision, t.verifiedAt = revision, began
	t.commitCount++
	if b.reacquire {
		t.leaseReplaced = false
	}
	for known, version := range b.versions {
		known.savedVersion = max(known.savedVersion, version)
	}
	for _, id := range b.removed {
		maps.DeleteFunc(t.advice, func(s stepID, _ *advice) bool { return s.job == id })
		delete(t.jobs, id)
	}
	for _, r := range b.runs {
		t.startCommitted(r)
	}
	close(t.committed)
	t.committed = make(chan struct{})
}

// startCommitted orders a run that is committed, or takes it back where its job has ended or its hall was closed meanwhile.
func (t *term) startCommitted(r batchedRun) {
	h := t.hosts.get(r.host)
	if h == nil || h.runs[r.id] == nil || h.runs[r.id].number != r.run {
		return
	}
	p := h.runs[r.id]
	p.committed, p.progressedAt = true, time.Now()
	if !p.stopping && !t.hallClosed(r.host) {
		t.orderStart(r.host, r.id, p)
		return
	}
	h.removeRun(r.id, r.run)
	if known := t.jobs[r.id.Job]; known != nil && known.job.Unplace(r.id, r.run) {
		t.markDirty(known)
	}
}

// verifyLeadership confirms that the term still stands where no commit did of late.
func (t *term) verifyLeadership(ctx context.Context) error {
	t.mu.Lock()
	chain, age := t.chainRevision, t.verificationAge()
	t.mu.Unlock()
	if age < verifyInterval {
		return nil
	}
	began := t.now()
	item, err := t.store.Get(ctx, record.LastCommitKey)
	if err != nil {
		t.logger.Warn("the lead could not be confirmed: %v", err)
		return nil
	}
	if item.Revision() != chain {
		return fault.New(fault.Stale, "another entry leads")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verifiedAt = began
	return nil
}
