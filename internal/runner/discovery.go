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
	// minSearchDelay and maxSearchDelay bound the backoff between two searches for the leader.
	minSearchDelay = 100 * time.Millisecond
	maxSearchDelay = time.Second
	// entryTimeout bounds a request to one entry, which delays its answer while there is no leader.
	entryTimeout = 800 * time.Millisecond
	// maxEntriesAsked is how many entries are asked in one search.
	maxEntriesAsked = 3
	// minStoreDelay and maxStoreDelay bound the backoff between two reads of the store while no entry answers: all agents of a fleet share it.
	minStoreDelay = time.Second
	maxStoreDelay = 16 * time.Second
	// storeTimeout bounds a read of the store, leaderCheckInterval is the time between two searches for the successor of an unverified leader.
	storeTimeout        = 900 * time.Millisecond
	leaderCheckInterval = 900 * time.Millisecond
)

// foundLeader is a leader with its number of agents, 0 if unknown.
type foundLeader struct {
	record.Leader
	agents int
}

// findLeader returns the leader, preferably with a later epoch than the given one. It asks entries, and reads the store only if none answers.
func (r *Runner) findLeader(ctx context.Context, after uint64) (foundLeader, error) {
	leader, err := r.queryEntries(ctx, link.LeaderRequest{After: after})
	if err == nil || !fault.Is(err, fault.NotFound) {
		return leader, err
	}
	if time.Now().Before(r.nextStoreRead) {
		return foundLeader{}, err
	}
	r.nextStoreRead = time.Now().Add(r.storeBackoff.Next())
	return r.readLeader(ctx)
}

// queryEntries asks some entries for a leader of a later epoch than the request's and returns the latest that any of them knows. The error is
// of kind NotFound if no entry answered, and Unavailable if those that answered know no leader.
func (r *Runner) queryEntries(ctx context.Context, request link.LeaderRequest) (foundLeader, error) {
	var latest foundLeader
	kind := fault.NotFound
	err := r.config.Pool.Try(ctx, maxEntriesAsked, func(p *rpc.Peer) error {
		bounded, cancel := context.WithTimeout(ctx, entryTimeout)
		defer cancel()
		answer, err := rpc.Call[link.LeaderRequest, link.LeaderAnswer](bounded, p, link.MethodLeader, request)
		switch {
		case fault.Is(err, fault.Unavailable):
			kind = fault.Unavailable
			return err
		case err != nil:
			return err
		}
		if answer.Epoch > latest.Epoch {
			latest.Leader = record.Leader{Process: answer.Process, Address: answer.Address, Epoch: answer.Epoch}
			latest.agents = answer.Agents
		}
		if answer.Epoch <= request.After {
			// An entry that the store rejects knows no later leader, while another entry may.
			return fault.New(fault.Stale, "the leader has epoch %d", answer.Epoch)
		}
		return nil
	})
	if latest.Epoch == 0 {
		return foundLeader{}, fault.Wrap(err, kind, "no entry knows the leader")
	}
	return latest, nil
}

// readLeader reads the leader from the store.
func (r *Runner) readLeader(ctx context.Context) (foundLeader, error) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.config.Store.Get(bounded, record.LeaderKey)
	if err != nil {
		return foundLeader{}, err
	}
	if item.Revision() == 0 {
		return foundLeader{}, fault.New(fault.Unavailable, "the store has no leader")
	}
	leader, err := record.DecodeLeader(item.Value())
	return foundLeader{Leader: leader}, err
}

const (
	// handshakeTime is the processor time that a leader on the weakest VM spends on the connection and first report of an agent.
	handshakeTime = time.Millisecond
	// minReconnectSpread is the time over which the agents of a small fleet reconnect.
	minReconnectSpread = 50 * time.Millisecond
	// urgentShare is the part of the spread in which urgent agents reconnect.
	urgentShare = 0.25
	// urgentLease is how soon after the spread a lease may expire for its agent to be urgent.
	urgentLease = 1500 * time.Millisecond
)

// reconnectDelay returns how long an agent waits before it connects to a newly elected leader, so that the leader does not spend its first second
// on handshakes. The random number is in [0, 1); lease is the time left of the agent lease, and endsUnreported whether ended runs wait to be reported.
func reconnectDelay(agents int, lease time.Duration, endsUnreported bool, random float64) time.Duration {
	spread := max(time.Duration(agents)*handshakeTime, minReconnectSpread)
	if endsUnreported || lease < spread+urgentLease {
		return time.Duration(random * urgentShare * float64(spread))
	}
	return time.Duration(random * float64(spread))
}

// connectDelay returns how long this agent waits before it connects to a leader.
func (r *Runner) connectDelay(leader foundLeader) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader.Epoch <= r.epoch || r.epoch == 0 {
		return 0
	}
	endsUnreported := r.worker != nil && len(r.worker.view.Ended) > 0
	return reconnectDelay(leader.agents, r.agentLeaseEnd.Sub(r.config.Uptime.Now()), endsUnreported, r.config.Random())
}
