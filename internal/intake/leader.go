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
	// leaderHold is how long the question who leads is held until there is a later leader than the asker knows.
	leaderHold = 500 * time.Millisecond
	// leaderRetry is when to ask again where nobody leads.
	leaderRetry = 200 * time.Millisecond
)

// leader answers an agent who leads, by what this entry follows anyway: the store is not asked by each agent of a fleet.
func (p *Pinger) leader(_ context.Context, _ *rpc.Peer, q link.LeaderRequest) (link.LeaderAnswer, error) {
	hold := leaderHold
	if q.AtOnce {
		hold = 0
	}
	held := time.NewTimer(hold)
	defer held.Stop()
	lead := p.desk.config.Leader
	for {
		changed := lead.Changed()
		value, known := lead.Value()
		leads := known && value.Revision != 0
		if leads && value.Decoded.Epoch > q.After {
			return p.leaderAnswer(value.Decoded), nil
		}
		select {
		case <-changed:
		case <-held.C:
			if leads {
				return p.leaderAnswer(value.Decoded), nil
			}
			return link.LeaderAnswer{}, fault.New(fault.Unavailable, "this entry knows of no leader").WithRetryAfter(leaderRetry)
		}
	}
}

func (p *Pinger) leaderAnswer(lead record.Leader) link.LeaderAnswer {
	return link.LeaderAnswer{Process: lead.Process, Address: lead.Address, Epoch: lead.Epoch, Agents: int(p.agents.Load())}
}
