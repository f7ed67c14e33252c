package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

const (
	// minSearchDelay and searchLast bound the pauses between two searches for the leader.
	minSearchDelay = 100 * time.Millisecond
	maxSearchDelay = time.Second
	// entryTimeout bounds the question to one entry, which holds it while nobody leads.
	entryTimeout = 800 * time.Millisecond
	// maxEntriesAsked is how many entries are asked in one search.
	maxEntriesAsked = 3
	// minStoreDelay and storeLast bound the pauses between two reads of the store where no entry answers: all agents of a fleet share it.
	minStoreDelay = time.Second
	maxStoreDelay = 16 * time.Second
	// storeTimeout bounds a read of the store, doubtEvery lies between two questions about a leader that is in doubt.
	storeTimeout        = 900 * time.Millisecond
	leaderCheckInterval = 900 * time.Millisecond
)

// foundLeader is a leader and how many agents it has, 0 where that is not known.
type foundLeader struct {
	record.Leader
	agents int
}

// findLeader returns who leads: a leader later than an epoch where there is one soon. Entries are asked; the store only where none answers.
func (r *Runner) findLeader(ctx context.Context, after uint64) (foundLeader, error) {
	leader, err := r.queryEntries(ctx, link.Leader{After: after})
	if err == nil || !fault.Is(err, fault.NotFound) {
		return leader, err
	}
	if time.Now().Before(r.nextStoreRead) {
		return foundLeader{}, err
	}
	r.nextStoreRead = time.Now().Add(r.storeBackoff.Next())
	return r.readLeader(ctx)
}

// queryEntries asks some entries for a leader later than the epoch of a question, and returns the latest that any of them knows. The error is of kind NotFound
// where none answered, and Unavailable where those that did know of no leader.
func (r *Runner) queryEntries(ctx context.Context, question link.Leader) (foundLeader, error) {
	var latest foundLeader
	unknown := fault.NotFound
	err := r.config.Pool.Try(ctx, maxEntriesAsked, func(p *rpc.Peer) error {
		bounded, cancel := context.WithTimeout(ctx, entryTimeout)
		defer cancel()
		answer, err := rpc.Call[link.Leader, link.LeaderAnswer](bounded, p, link.MethodLeader, question)
		switch {
		case fault.Is(err, fault.Unavailable):
			unknown = fault.Unavailable
			return err
		case err != nil:
			return err
		}
		if answer.Epoch > latest.Epoch {
			latest.Leader = record.Leader{Process: answer.Node, Address: answer.Address, Epoch: answer.Epoch}
			latest.agents = answer.Agents
		}
		if answer.Epoch <= question.After {
			// An entry that the store turns away knows of no later leader, where another one may.
			return fault.New(fault.Stale, "epoch %d leads", answer.Epoch)
		}
		return nil
	})
	if latest.Epoch == 0 {
		return foundLeader{}, fault.Wrap(err, unknown, "no entry tells who leads")
	}
	return latest, nil
}

// readLeader reads who leads from the store.
func (r *Runner) readLeader(ctx context.Context) (foundLeader, error) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.config.Store.Get(bounded, record.LeaderKey)
	if err != nil {
		return foundLeader{}, err
	}
	if item.Revision() == 0 {
		return foundLeader{}, fault.New(fault.Unavailable, "nobody leads")
	}
	lead, err := record.DecodeLeader(item.Value())
	return foundLeader{Leader: lead}, err
}

const (
	// handshakeTime is the processor time that a leader takes for the connection and the first report of an agent, on the weakest VM.
	handshakeTime = time.Millisecond
	// minReturnSpread is the time over which the agents of a small fleet return.
	minReturnSpread = 50 * time.Millisecond
	// urgentShare is the part of that time in which those return that cannot wait.
	urgentShare = 0.25
	// urgentLease is how soon after the spread a lease may end for its agent to be urgent.
	urgentLease = 1500 * time.Millisecond
)

// reconnectDelay returns how long an agent waits before it connects to a leader that was just elected, so that the leader's first second is not
// spent on handshakes. The draw is from 0 up to 1; lease is how long the worker's lease still lasts, and ends say that some are unreported.
func reconnectDelay(agents int, lease time.Duration, ends bool, draw float64) time.Duration {
	spread := max(time.Duration(agents)*handshakeTime, minReturnSpread)
	if ends || lease < spread+urgentLease {
		return time.Duration(draw * urgentShare * float64(spread))
	}
	return time.Duration(draw * float64(spread))
}

// connectDelay returns how long to wait before this agent connects to a leader.
func (r *Runner) connectDelay(leader foundLeader) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader.Epoch <= r.epoch || r.epoch == 0 {
		return 0
	}
	ends := r.worker != nil && len(r.worker.view.Ended) > 0
	return reconnectDelay(leader.agents, r.agentLeaseEnd.Sub(r.config.Uptime.Now()), ends, r.config.Random())
}
