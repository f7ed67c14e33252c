package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

const (
	// leaseTTL is how long the lead stands without renewal: three times a slow answer of the store, and the longest that
	// nothing is scheduled after a lead dies.
	leaseTTL = 1500 * time.Millisecond
	// renewInterval is how often the lease is renewed.
	renewInterval = 400 * time.Millisecond
	// campaignRetryDelay lies between two attempts to win the lead.
	campaignRetryDelay = 150 * time.Millisecond
	// unrankedDelay is how long an entry with a whole core waits at least before it stands for the lead where no leader has ranked it; weaker ones wait
	// longer.
	unrankedDelay = 30 * time.Millisecond
	// minStrength is the share of a core below which an entry waits no longer.
	minStrength = 0.05
	// rankDelay is the time in which a candidate wins that is alive and reaches the store; the next one waits for as long.
	rankDelay = 40 * time.Millisecond
	// maxRankDelays is how many candidates stand in turn; the others stand after them, spread over lastSpread.
	maxRankDelays = 25
	lowRankSpread = time.Second
	// rankTTL is how long a rank holds after a leader told it.
	rankTTL = 10 * time.Second
)

// ranking is the place of an entry among those that may lead next, 0 for none.
type ranking struct {
	rank  int
	setAt time.Time
}

// SetRank stores the place of this entry among those that may lead next, 0 for none.
func (d *Dispatcher) SetRank(place int) { d.ranking.Store(&ranking{rank: place, setAt: time.Now()}) }

// currentRank returns the currentRank of this entry among those that may lead next, 0 where it is not known.
func (d *Dispatcher) currentRank() int {
	if d.takeOverRequested() {
		return 1
	}
	r := d.ranking.Load()
	if r == nil || time.Since(r.setAt) > rankTTL {
		return 0
	}
	return r.rank
}

// candidateDelay returns how long an entry waits before it stands for the lead, so that not all of a large fleet try at once. The draw is from 0 up
// to 1.
func candidateDelay(place int, strength, draw float64) time.Duration {
	switch {
	case place == 0:
		return time.Duration((1 + draw) * float64(unrankedDelay) / max(strength, minStrength))
	case place <= maxRankDelays:
		return time.Duration(place-1) * rankDelay
	}
	return maxRankDelays*rankDelay + time.Duration(draw*float64(lowRankSpread))
}

// campaign waits until nobody leads, or an earlier life of this process does, and returns the new term.
func (d *Dispatcher) campaign(ctx context.Context) (*term, error) {
	for ctx.Err() == nil {
		changed := d.config.Leader.Changed()
		value, known := d.config.Leader.Value()
		if known && (value.Revision == 0 || value.Held.Process == d.config.Node || d.mayReplace(value.Held.Epoch)) && d.backoffElapsed() {
			if d.awaitTurn(ctx, changed) {
				return d.tryAcquire(ctx)
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-d.suspicionChanged:
		case <-time.After(campaignRetryDelay):
		}
	}
	return nil, ctx.Err()
}

// awaitTurn waits until it is this entry's turn to stand for the lead, and reports whether nothing has changed about the lead meanwhile.
func (d *Dispatcher) awaitTurn(ctx context.Context, changed <-chan struct{}) bool {
	turn := time.NewTimer(candidateDelay(d.currentRank(), d.config.Strength, rand.Float64()))
	defer turn.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return false
	case <-turn.C:
		return true
	}
}

func (d *Dispatcher) backoffElapsed() bool { return time.Now().UnixMilli() >= d.backoffUntil.Load() }

// tryAcquire tries to win the lead once; the term knows no jobs yet.
func (d *Dispatcher) tryAcquire(ctx context.Context) (*term, error) {
	store := d.config.Store
	held, err := store.Get(ctx, record.LeaderKey)
	if err != nil {
		return nil, err
	}
	if held.Revision() != 0 {
		holder, err := record.DecodeLeader(held.Value())
		if err != nil {
			// Somebody else wrote it: nobody leads by it, and the chain fences whoever might.
			d.logger.Error("the record of the lead cannot be read and is replaced; reason=%v", err)
		}
		if err == nil && holder.Process != d.config.Node && !d.mayReplace(holder.Epoch) {
			_, err := d.config.Leader.Refresh(ctx)
			return nil, fault.New(fault.Conflict, "%s leads (%v)", holder.Process, err)
		}
	}
	chain, chainRevision, err := readChain(ctx, store)
	if err != nil {
		return nil, err
	}
	lease, err := store.Grant(ctx, leaseTTL)
	if err != nil {
		return nil, err
	}
	t := newTerm(d, chain.Epoch+FencesPerEpoch, lease)
	if err := t.acquire(ctx, held.Revision(), chainRevision); err != nil {
		return nil, err
	}
	return t, nil
}

// acquire writes the lead and the beginning of its chain in one transaction.
func (t *term) acquire(ctx context.Context, held, chain kv.Revision) error {
	change, err := t.acquireTxn(held, chain)
	if err != nil {
		return err
	}
	began := t.now()
	revision, err := t.store.Commit(ctx, change)
	if fault.Is(err, fault.OutcomeUnknown) {
		revision, err = t.committedRevision(ctx, 0)
	}
	if err != nil {
		return err
	}
	t.chainRevision, t.verifiedAt = revision, began
	return nil
}

func (t *term) acquireTxn(held, chain kv.Revision) (kv.Txn, error) {
	lead, err := t.leaderPut()
	if err != nil {
		return kv.Txn{}, err
	}
	begin, err := t.chainPut(0)
	if err != nil {
		return kv.Txn{}, err
	}
	return kv.Txn{
		Conditions: []kv.Condition{{Key: record.LeaderKey, Revision: held}, {Key: record.LastCommitKey, Revision: chain}},
		Puts:       []kv.Put{lead, begin},
	}, nil
}

// leaderPut enters this process as the lead under the term's lease.
func (t *term) leaderPut() (kv.Put, error) {
	config := t.dispatcher.config
	value, err := record.Encode(record.Leader{Process: config.Node, Boot: config.Boot, Address: config.Address, Epoch: t.epoch})
	return kv.Put{Key: record.LeaderKey, Value: value, Lease: t.lease}, err
}

// chainPut writes the number of a commit to the chain.
func (t *term) chainPut(commit uint64) (kv.Put, error) {
	value, err := record.Encode(record.LastCommit{Epoch: t.epoch, Boot: t.dispatcher.config.Boot, Commit: commit})
	return kv.Put{Key: record.LastCommitKey, Value: value}, err
}

// readChain returns the last commit of any lead and the revision at which it was written.
func readChain(ctx context.Context, store kv.Store) (record.LastCommit, kv.Revision, error) {
	item, err := store.Get(ctx, record.LastCommitKey)
	if err != nil {
		return record.LastCommit{}, 0, err
	}
	chain, err := record.DecodeLastCommit(item.Value())
	return chain, item.Revision(), err
}

// committedRevision finds out whether a commit of this term is the last that was done, though its answer was lost or its condition
// failed; Stale says that it is not, so that another leads. Commit 0 is that by which the term began.
func (t *term) committedRevision(ctx context.Context, commit uint64) (kv.Revision, error) {
	chain, revision, err := readChain(ctx, t.store)
	if err != nil {
		return 0, err
	}
	if chain.Epoch != t.epoch || chain.Boot != t.dispatcher.config.Boot || chain.Commit != commit {
		return 0, fault.New(fault.Stale, "epoch %d leads", chain.Epoch)
	}
	return revision, nil
}

// resign lets the lease go, so that another entry can lead at once.
func (t *term) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTTL)
	defer cancel()
	if err := t.store.End(ctx, t.lease); err != nil {
		t.logger.Warn("the lease of the lead could not be given up: %v", err)
	}
}
