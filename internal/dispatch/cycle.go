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
	// retryFirst and retryLast bound the pause before a commit is repeated.
	retryFirst = 15 * time.Millisecond
	retryLast  = 250 * time.Millisecond
)

// decide gives up what is lost and places what waits.
func (t *term) decide() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	t.unstick()
	t.moveFromLeaving()
	t.plan()
}

// settle commits what one transaction holds of what changed, and sends the orders that the commit allows.
func (t *term) settle(ctx context.Context) error {
	t.mu.Lock()
	b, err := t.batch()
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
	return t.prove(ctx)
}

// settled reports whether all that changed is committed.
func (t *term) settled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.dirty) == 0
}

// commit writes the batch, however often it takes, and then lets its runs start.
func (t *term) commit(ctx context.Context, b *batch) error {
	pause := retryFirst
	patience := t.patience.First()
	for {
		asked, began := time.Now(), t.now()
		revision, err := t.commitOnce(ctx, b.change, patience)
		if fault.Is(err, fault.Conflict) {
			revision, err = t.landed(ctx, t.commits+1)
		}
		patience = t.patience.Longer(patience)
		t.tellEntries()
		if err == nil {
			t.patience.Answered(time.Since(asked))
			t.committedBatch(b, revision, began)
			return nil
		}
		if fault.Is(err, fault.Stale) || ctx.Err() != nil {
			return err
		}
		t.logger.Warn("a commit is repeated; commit=%d records=%d reason=%v", t.commits+1, len(b.versions), err)
		if fault.Is(err, fault.NotFound) {
			return fault.Wrap(err, fault.Stale, "the lease of the lead is over")
		}
		select {
		case <-ctx.Done():
		case <-t.proven:
			pause, patience = retryFirst, t.patience.First()
		case <-time.After(pause):
			pause = min(2*pause, retryLast)
		}
	}
}

const (
	// patienceFirst and patienceLast bound how long an attempt to commit waits for its answer; a commit is safe to repeat,
	// and one whose answer is lost holds all placements up.
	patienceFirst = 120 * time.Millisecond
	patienceLast  = 900 * time.Millisecond
)

// commitOnce attempts a commit with bounded patience.
func (t *term) commitOnce(ctx context.Context, change kv.Txn, patience time.Duration) (kv.Revision, error) {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	return t.store.Commit(bounded, change)
}

// committedBatch takes note of what the store has now.
func (t *term) committedBatch(b *batch, revision kv.Revision, began boottime.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chain, t.verified = revision, began
	t.commits++
	if b.relock {
		t.relock = false
	}
	for known, version := range b.versions {
		known.saved = max(known.saved, version)
	}
	for _, id := range b.removed {
		maps.DeleteFunc(t.advised, func(s stepID, _ *advice) bool { return s.job == id })
		delete(t.jobs, id)
	}
	for _, r := range b.runs {
		t.release(r)
	}
	close(t.committed)
	t.committed = make(chan struct{})
}

// release orders a run that is committed, or takes it back where its job has ended or its hall was closed meanwhile.
func (t *term) release(r batchedRun) {
	h := t.hosts.get(r.host)
	if h == nil || h.runs[r.id] == nil || h.runs[r.id].run != r.run {
		return
	}
	p := h.runs[r.id]
	p.committed, p.moved = true, time.Now()
	if !p.stopping && !t.closed(r.host) {
		t.orderStart(r.host, r.id, p)
		return
	}
	h.remove(r.id, r.run)
	if known := t.jobs[r.id.Job]; known != nil && known.job.Unplace(r.id, r.run) {
		t.touch(known)
	}
}

// prove confirms that the term still stands where no commit did of late.
func (t *term) prove(ctx context.Context) error {
	t.mu.Lock()
	chain, age := t.chain, t.age()
	t.mu.Unlock()
	if age < proveEvery {
		return nil
	}
	began := t.now()
	item, err := t.store.Get(ctx, record.ChainKey)
	if err != nil {
		t.logger.Warn("the lead could not be confirmed: %v", err)
		return nil
	}
	if item.Revision() != chain {
		return fault.New(fault.Stale, "another entry leads")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verified = began
	return nil
}
