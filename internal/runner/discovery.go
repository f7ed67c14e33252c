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
	// searchFirst and searchLast bound the pauses between two searches for the leader.
	searchFirst = 100 * time.Millisecond
	searchLast  = time.Second
	// askPatience bounds the question to one entry, which holds it while nobody leads.
	askPatience = 800 * time.Millisecond
	// mostAsked is how many entries are asked in one search.
	mostAsked = 3
	// storeFirst and storeLast bound the pauses between two reads of the store where no entry answers: all agents of a fleet share it.
	storeFirst = time.Second
	storeLast  = 16 * time.Second
	// lookPatience bounds a read of the store, doubtEvery lies between two questions about a leader that is in doubt.
	lookPatience = 900 * time.Millisecond
	doubtEvery   = 900 * time.Millisecond
)

// found is a leader and how many agents it has, 0 where that is not known.
type found struct {
	record.Leader
	agents int
}

// find returns who leads: a leader later than an epoch where there is one soon. Entries are asked; the store only where none answers.
func (r *Runner) find(ctx context.Context, after uint64) (found, error) {
	leader, err := r.askEntries(ctx, link.Leader{After: after})
	if err == nil || !fault.Is(err, fault.NotFound) {
		return leader, err
	}
	if time.Now().Before(r.storeNext) {
		return found{}, err
	}
	r.storeNext = time.Now().Add(r.storePause.Next())
	return r.askStore(ctx)
}

// askEntries asks some entries for a leader later than the epoch of a question, and returns the latest that any of them knows. The error is of kind NotFound
// where none answered, and Unavailable where those that did know of no leader.
func (r *Runner) askEntries(ctx context.Context, question link.Leader) (found, error) {
	var latest found
	unknown := fault.NotFound
	err := r.config.Pool.Try(ctx, mostAsked, func(p *rpc.Peer) error {
		bounded, cancel := context.WithTimeout(ctx, askPatience)
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
		return found{}, fault.Wrap(err, unknown, "no entry tells who leads")
	}
	return latest, nil
}

// askStore reads who leads from the store.
func (r *Runner) askStore(ctx context.Context) (found, error) {
	bounded, cancel := context.WithTimeout(ctx, lookPatience)
	defer cancel()
	item, err := r.config.Store.Get(bounded, record.LeaderKey)
	if err != nil {
		return found{}, err
	}
	if item.Revision() == 0 {
		return found{}, fault.New(fault.Unavailable, "nobody leads")
	}
	lead, err := record.DecodeLeader(item.Value())
	return found{Leader: lead}, err
}

const (
	// handshake is the processor time that a leader takes for the connection and the first report of an agent, on the weakest VM.
	handshake = time.Millisecond
	// leastSpread is the time over which the agents of a small fleet return.
	leastSpread = 50 * time.Millisecond
	// urgentShare is the part of that time in which those return that cannot wait.
	urgentShare = 0.25
	// urgentWithin is how soon after the spread a lease may end for its agent to be urgent.
	urgentWithin = 1500 * time.Millisecond
)

// returnDelay returns how long an agent waits before it connects to a leader that was just elected, so that the leader's first second is not
// spent on handshakes. The draw is from 0 up to 1; lease is how long the worker's lease still lasts, and ends say that some are unreported.
func returnDelay(agents int, lease time.Duration, ends bool, draw float64) time.Duration {
	spread := max(time.Duration(agents)*handshake, leastSpread)
	if ends || lease < spread+urgentWithin {
		return time.Duration(draw * urgentShare * float64(spread))
	}
	return time.Duration(draw * float64(spread))
}

// returnPause returns how long to wait before this agent connects to a leader.
func (r *Runner) returnPause(leader found) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader.Epoch <= r.epoch || r.epoch == 0 {
		return 0
	}
	ends := r.worker != nil && len(r.worker.view.Ended) > 0
	return returnDelay(leader.agents, r.permitted.Sub(r.config.Uptime.Now()), ends, r.config.Random())
}
