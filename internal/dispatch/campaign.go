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
	// leaseTTL is the TTL of the leader's lease: three times a slow answer of the store. It also bounds how long nothing is
	// scheduled after a leader fails.
	leaseTTL = 1500 * time.Millisecond
	// renewInterval is the time between two renewals of the leader's lease.
	renewInterval = 400 * time.Millisecond
	// campaignRetryDelay is the time between two attempts to acquire leadership.
	campaignRetryDelay = 150 * time.Millisecond
	// unrankedDelay is the least time that an entry with a whole core waits before it campaigns without a rank; entries
	// with a smaller share wait longer.
	unrankedDelay = 30 * time.Millisecond
	// minStrength is the share of a core below which the delay of an unranked entry grows no further.
	minStrength = 0.05
	// rankDelay is the time between two ranked candidates: long enough for a live one that reaches the store to win.
	rankDelay = 40 * time.Millisecond
	// maxRankDelays is the number of candidates that campaign in turn; the others follow, spread over lowRankSpread.
	maxRankDelays = 25
	lowRankSpread = time.Second
	// rankTTL is how long a rank is valid after a leader sent it.
	rankTTL = 10 * time.Second
)

// ranking is the rank of an entry among the candidates, counted from 1, 0 for none.
type ranking struct {
	rank  int
	setAt time.Time
}

// SetRank stores the rank of this entry among the candidates, counted from 1, 0 for none.
func (d *Dispatcher) SetRank(rank int) { d.ranking.Store(&ranking{rank: rank, setAt: time.Now()}) }

// currentRank returns the rank of this entry among the candidates: 1 if the leader asked it to take over, 0 if it has no
// valid rank.
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

// candidateDelay returns how long an entry waits before it campaigns, so that the entries of a large fleet do not all try
// at once. The jitter is random, from 0 up to 1.
func candidateDelay(rank int, strength, jitter float64) time.Duration {
	switch {
	case rank == 0:
		return time.Duration((1 + jitter) * float64(unrankedDelay) / max(strength, minStrength))
	case rank <= maxRankDelays:
		return time.Duration(rank-1) * rankDelay
	}
	return maxRankDelays*rankDelay + time.Duration(jitter*float64(lowRankSpread))
}

// campaign waits until there is no leader, the leader may be replaced, or the leader record is from a previous
// incarnation of this process; then it acquires leadership and returns the new term.
func (d *Dispatcher) campaign(ctx context.Context) (*term, error) {
	for ctx.Err() == nil {
		changed := d.config.Leader.Changed()
		leader, loaded := d.config.Leader.Value()
		if loaded && (leader.Revision == 0 || leader.Decoded.Process == d.config.Process || d.mayReplace(leader.Decoded.Epoch)) && d.backoffElapsed() {
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

// awaitTurn waits for the entry's candidate delay and reports whether the leader record stayed unchanged meanwhile.
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

// tryAcquire makes one attempt to acquire leadership; the returned term has not loaded the jobs yet.
func (d *Dispatcher) tryAcquire(ctx context.Context) (*term, error) {
	store := d.config.Store
	item, err := store.Get(ctx, record.LeaderKey)
	if err != nil {
		return nil, err
	}
	if item.Revision() != 0 {
		leader, err := record.DecodeLeader(item.Value())
		if err != nil {
			// The record was not written by an entry. No leader depends on it, and the commit condition fences any that might.
			d.logger.Error("leader record is unreadable and will be replaced; reason=%v", err)
		}
		if err == nil && leader.Process != d.config.Process && !d.mayReplace(leader.Epoch) {
			_, err := d.config.Leader.Refresh(ctx)
			return nil, fault.New(fault.Conflict, "%s is the leader (%v)", leader.Process, err)
		}
	}
	last, lastRevision, err := readLastCommit(ctx, store)
	if err != nil {
		return nil, err
	}
	earlierLeases, err := d.earlierLeases(ctx, last.Epoch)
	if err != nil {
		return nil, err
	}
	lease, err := store.Grant(ctx, leaseTTL)
	if err != nil {
		return nil, err
	}
	t := newTerm(d, last.Epoch+FencesPerEpoch, lease)
	t.earlierLeases = earlierLeases
	if err := t.acquire(ctx, item.Revision(), lastRevision); err != nil {
		return nil, err
	}
	return t, nil
}

// acquire writes the leader record, commit 0 of the term and the bound of its leases in one transaction, provided that the first two still have
// the given revisions.
func (t *term) acquire(ctx context.Context, leaderRevision, commitRevision kv.Revision) error {
	txn, err := t.acquireTxn(leaderRevision, commitRevision)
	if err != nil {
		return err
	}
	askedAt := t.now()
	revision, err := t.store.Commit(ctx, txn)
	if fault.Is(err, fault.OutcomeUnknown) {
		revision, err = t.committedRevision(ctx, 0)
	}
	if err != nil {
		return err
	}
	t.lastCommitRevision, t.verifiedAt = revision, askedAt
	// Until the store carried out the commit, the previous leader may have verified its leadership, which extends the leases that it grants.
	t.startedAt = time.Now()
	return nil
}

func (t *term) acquireTxn(leaderRevision, commitRevision kv.Revision) (kv.Txn, error) {
	leader, err := t.leaderPut()
	if err != nil {
		return kv.Txn{}, err
	}
	commit, err := t.lastCommitPut(0)
	if err != nil {
		return kv.Txn{}, err
	}
	txn := kv.Txn{
		Conditions: []kv.Condition{{Key: record.LeaderKey, Revision: leaderRevision}, {Key: record.LastCommitKey, Revision: commitRevision}},
		Puts:       []kv.Put{leader, commit},
	}
	return txn, t.addLeases(&txn)
}

// leaderPut returns the put of the leader record for this process under the term's lease.
func (t *term) leaderPut() (kv.Put, error) {
	config := t.dispatcher.config
	value, err := record.Encode(record.Leader{Process: config.Process, Boot: config.Boot, Address: config.Address, Epoch: t.epoch})
	return kv.Put{Key: record.LeaderKey, Value: value, Lease: t.lease}, err
}

// lastCommitPut returns the put of the last commit record with a commit number.
func (t *term) lastCommitPut(commit uint64) (kv.Put, error) {
	value, err := record.Encode(record.LastCommit{Epoch: t.epoch, Boot: t.dispatcher.config.Boot, Commit: commit})
	return kv.Put{Key: record.LastCommitKey, Value: value}, err
}

// readLastCommit returns the last commit of any leader and the revision at which it was written.
func readLastCommit(ctx context.Context, store kv.Store) (record.LastCommit, kv.Revision, error) {
	item, err := store.Get(ctx, record.LastCommitKey)
	if err != nil {
		return record.LastCommit{}, 0, err
	}
	last, err := record.DecodeLastCommit(item.Value())
	return last, item.Revision(), err
}

// committedRevision returns the revision of a commit of this term whose answer was lost or whose condition failed. It
// returns a Stale error if another commit is the last, since then another entry leads. Commit 0 started the term.
func (t *term) committedRevision(ctx context.Context, commit uint64) (kv.Revision, error) {
	last, revision, err := readLastCommit(ctx, t.store)
	if err != nil {
		return 0, err
	}
	if last.Epoch != t.epoch || last.Boot != t.dispatcher.config.Boot || last.Commit != commit {
		return 0, fault.New(fault.Stale, "the leader has epoch %d", last.Epoch)
	}
	return revision, nil
}

// resign ends the leader's lease, so that another entry can take over at once.
func (t *term) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTTL)
	defer cancel()
	if err := t.store.End(ctx, t.lease); err != nil {
		t.logger.Warn("cannot end the leader's lease: %v", err)
	}
}
