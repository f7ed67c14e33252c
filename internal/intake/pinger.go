package intake

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// pinger tells the lead of this entry.
type pinger struct {
	*Desk
	node, address string
	successor     Successor
	// sendValue says that the lead needs this entry's configuration, probing that the store answers neither the lead nor this
	// entry.
	sendValue bool
	probing   bool
}

// ping tells the lead once, and returns a channel that is closed when the connection to it ends; nil where there is none.
func (p *pinger) ping(ctx context.Context) (<-chan struct{}, error) {
	lead, known := p.config.Lead.Value()
	if !known || lead.Revision == 0 || lead.Held.Address == p.address {
		return nil, nil
	}
	bounded, cancel := context.WithTimeout(ctx, pingPatience)
	defer cancel()
	peer, err := p.config.Pool.Peer(bounded, lead.Held.Address)
	if err != nil {
		p.missed(lead, err)
		return nil, err
	}
	own := p.config.Policies.Offer()
	answer, err := rpc.Call[link.Ping, link.PingAnswer](bounded, peer, link.MethodPing, p.message(lead.Held.Epoch, own))
	p.sendValue = false
	if err != nil {
		if !fault.Is(err, fault.Stale) {
			p.config.Pool.Drop(lead.Held.Address)
		}
		return nil, err
	}
	p.config.Pool.Learn(answer.Entries)
	p.config.Policies.Take(answer.Offer)
	p.sendValue = answer.Revision != 0 && answer.Revision < own.Revision
	p.heed(ctx, lead.Held.Epoch, answer)
	return peer.Done(), nil
}

// message returns what the lead is told.
func (p *pinger) message(epoch uint64, own link.Offer) link.Ping {
	m := link.Ping{Entry: p.node, Address: p.address, Epoch: epoch, StoreAgeMillis: -1, Offer: own}
	if answered := p.config.Health.Answered(); !answered.IsZero() {
		m.StoreAgeMillis = time.Since(answered).Milliseconds()
	}
	if !p.sendValue {
		m.Value = nil
	}
	return m
}

// missed takes note that the lead cannot be connected to: a VM that refuses has no such process any more.
func (p *pinger) missed(lead follow.Value[record.Lead], err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.successor.Suspect(lead.Held.Epoch, "its VM refuses connections")
	}
}

// heed acts on what the lead knows of the store.
func (p *pinger) heed(ctx context.Context, epoch uint64, answer link.PingAnswer) {
	if answer.Succeed {
		p.successor.Suspect(epoch, "the store does not answer it")
	}
	if answer.StoreDown {
		p.probe(ctx)
		return
	}
	p.probing = false
	p.config.Store.SetAway(false)
}

// probe finds out whether the store answers this entry, where it does not answer the lead, or where nobody can be asked.
func (p *pinger) probe(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, probePatience)
	defer cancel()
	_, err := p.config.Direct.Get(bounded, record.ChainKey)
	away := err != nil
	if away && !p.probing {
		p.logger.Warn("the store answers neither the lead nor this entry; callers are refused: %v", err)
	}
	p.probing = away
	p.config.Store.SetAway(away)
}
