package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const (
	// minCommitRetryDelay and maxCommitRetryDelay bound the delay before a commit is retried.
	minCommitRetryDelay = 15 * time.Millisecond
	maxCommitRetryDelay = 250 * time.Millisecond
)

// schedule expires lost workers, stops runs that should restart elsewhere, and places waiting tasks.
func (t *term) schedule() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumeSuspended(time.Now())
	t.expireWorkers()
	t.stopStalled()
	t.moveFromDraining()
	t.placeTasks()
}

// commitChanges commits as many changes as fit one transaction, and sends the orders that wait for that commit.
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

// allCommitted reports whether no job has uncommitted changes.
func (t *term) allCommitted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.dirty) == 0
}

// commit writes a batch, with retries until it succeeds or the term ends, and then starts the runs of the batch.
func (t *term) commit(ctx context.Context, b *batch) error {
	delay := minCommitRetryDelay
	timeout := t.commitTimeouts.First()
	for {
		askedAt, askedUptime := time.Now(), t.now()
		revision, err := t.commitOnce(ctx, b.txn, timeout)
		if fault.Is(err, fault.Conflict) {
			revision, err = t.committedRevision(ctx, t.commitCount+1)
		}
		timeout = t.commitTimeouts.Extend(timeout)
		t.notifyEntries()
		if err == nil {
			t.commitTimeouts.Observe(time.Since(askedAt))
			t.applyCommit(b, revision, askedUptime)
			return nil
		}
		if fault.Is(err, fault.Stale) || ctx.Err() != nil {
			return err
		}
		if refusesContent(err) && t.narrowRefusal(b, err) {
			return nil
		}
		t.logger.Warn("commit failed and is retried; commit=%d records=%d reason=%v", t.commitCount+1, len(b.versions), err)
		if fault.Is(err, fault.NotFound) {
			return fault.Wrap(err, fault.Stale, "the leader's lease has expired")
		}
		select {
		case <-ctx.Done():
		case <-t.storeAnswered:
			delay, timeout = minCommitRetryDelay, t.commitTimeouts.First()
		case <-time.After(delay):
			delay = min(2*delay, maxCommitRetryDelay)
		}
	}
}

const (
	// minCommitTimeout and maxCommitTimeout bound how long one commit attempt waits for its answer: a commit is safe to
	// retry, and one whose answer is lost delays all placements.
	minCommitTimeout = 120 * time.Millisecond
	maxCommitTimeout = 900 * time.Millisecond
)

// commitOnce makes one attempt to commit a transaction.
func (t *term) commitOnce(ctx context.Context, txn kv.Txn, timeout time.Duration) (kv.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.store.Commit(bounded, txn)
}

// applyCommit updates the state of the term after a batch was committed; askedAt is when the attempt began.
func (t *term) applyCommit(b *batch, revision kv.Revision, askedAt boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastCommitRevision, t.verifiedAt = revision, askedAt
	t.commitCount++
	if b.reacquire {
		t.leaseReplaced = false
	}
	for tracked, version := range b.versions {
		tracked.savedVersion = max(tracked.savedVersion, version)
		if b.alone {
			delete(t.isolated, tracked.job.ID())
			tracked.refusedDelay = 0
		}
	}
	t.applyRemovals(b, revision)
	for _, r := range b.runs {
		t.startCommitted(r)
	}
	close(t.committed)
	t.committed = make(chan struct{})
}

// startCommitted sends the start of a committed run, or unplaces the run if its job ended or its hall closed meanwhile.
func (t *term) startCommitted(r batchedRun) {
	h := t.hosts.get(r.host)
	if h == nil || h.runs[r.id] == nil || h.runs[r.id].number != r.run {
		return
	}
	p := h.runs[r.id]
	p.committed, p.progressedAt = true, time.Now()
	p.timing.placedHere = true
	if !p.stopping && !t.hallClosed(r.host) {
		t.orderStart(r.host, r.id, p)
		return
	}
	h.removeRun(r.id, r.run)
	if tracked := t.jobs[r.id.Job]; tracked != nil && tracked.job.Unplace(r.id, r.run) {
		t.markDirty(tracked)
	}
}

// verifyLeadership confirms by a read of the last commit that no other entry leads, unless a recent commit showed it.
func (t *term) verifyLeadership(ctx context.Context) error {
	t.mu.Lock()
	revision, age := t.lastCommitRevision, t.verificationAge()
	t.mu.Unlock()
	if age < verifyInterval {
		return nil
	}
	askedAt := t.now()
	item, err := t.store.Get(ctx, record.LastCommitKey)
	if err != nil {
		t.logger.Warn("cannot verify leadership: %v", err)
		return nil
	}
	if item.Revision() != revision {
		return fault.New(fault.Stale, "another entry is the leader")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verifiedAt = askedAt
	return nil
}
