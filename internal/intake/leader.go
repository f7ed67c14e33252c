package intake

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

const (
	// maxLeaderWait is how long a request for the leader waits for a leader of an epoch later than the given one.
	maxLeaderWait = 500 * time.Millisecond
	// leaderRetryAfter is the retry delay if there is no leader.
	leaderRetryAfter = 200 * time.Millisecond
)

// handleLeader answers an agent with the leader that this entry follows, so that not every agent of a fleet reads the store.
func (p *Pinger) handleLeader(_ context.Context, _ *rpc.Peer, request link.LeaderRequest) (link.LeaderAnswer, error) {
	limit := maxLeaderWait
	if request.AtOnce {
		limit = 0
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	leader := p.server.config.Leader
	for {
		changed := leader.Changed()
		value, known := leader.Value()
		hasLeader := known && value.Revision != 0
		if hasLeader && value.Decoded.Epoch > request.After {
			return p.newLeaderAnswer(value.Decoded), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if hasLeader {
				return p.newLeaderAnswer(value.Decoded), nil
			}
			return link.LeaderAnswer{}, fault.New(fault.Unavailable, "no leader is known to this entry").WithRetryAfter(leaderRetryAfter)
		}
	}
}

func (p *Pinger) newLeaderAnswer(leader record.Leader) link.LeaderAnswer {
	return link.LeaderAnswer{Process: leader.Process, Address: leader.Address, Epoch: leader.Epoch, Agents: int(p.agents.Load())}
}
