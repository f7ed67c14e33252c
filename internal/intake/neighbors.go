package intake

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// Register adds the methods by which other processes reach the store through this entry.
func Register(m *rpc.Mux, store kv.Store) {
	rpc.Handle(m, link.MethodGet, func(ctx context.Context, _ *rpc.Peer, g link.Get) (link.Item, error) {
		item, err := store.Get(ctx, g.Key)
		return link.Item{Value: item.Value(), Revision: uint64(item.Revision())}, err
	})
	rpc.Handle(m, link.MethodCommit, func(ctx context.Context, _ *rpc.Peer, c link.Commit) (link.CommitAnswer, error) {
		var change kv.Txn
		for key, revision := range c.Conditions {
			change.Conditions = append(change.Conditions, kv.Condition{Key: key, Revision: kv.Revision(revision)})
		}
		for key, value := range c.Puts {
			change.Puts = append(change.Puts, kv.Put{Key: key, Value: value})
		}
		revision, err := store.Commit(ctx, change)
		return link.CommitAnswer{Revision: uint64(revision)}, err
	})
}

const (
	// pingEvery is how often an entry tells the lead of itself; a quarter of the shortest time in which a
	// configuration has to be in force.
	pingEvery = 500 * time.Millisecond
	// pingPatience bounds the answer.
	pingPatience = 700 * time.Millisecond
)

// Ping tells the lead of this entry, and exchanges the newest configuration, until ctx ends.
func (d *Desk) Ping(ctx context.Context, node, address string) {
	sendValue := false
	for ctx.Err() == nil {
		want, err := d.pingOnce(ctx, node, address, sendValue)
		if err != nil && ctx.Err() == nil {
			d.logger.Debug("the lead was not reached: %v", err)
		}
		sendValue = want
		wait.For(ctx, pingEvery)
	}
}

// pingOnce reports whether the lead needs this entry's configuration.
func (d *Desk) pingOnce(ctx context.Context, node, address string, sendValue bool) (bool, error) {
	lead, known := d.config.Lead.Value()
	if !known || lead.Revision == 0 || lead.Held.Address == address {
		return false, nil
	}
	bounded, cancel := context.WithTimeout(ctx, pingPatience)
	defer cancel()
	peer, err := d.config.Pool.Peer(bounded, lead.Held.Address)
	if err != nil {
		return false, err
	}
	own := d.config.Policies.Offer()
	ping := link.Ping{Entry: node, Address: address, Epoch: lead.Held.Epoch, Offer: own}
	if !sendValue {
		ping.Value = nil
	}
	answer, err := rpc.Call[link.Ping, link.PingAnswer](bounded, peer, link.MethodPing, ping)
	if err != nil {
		if !fault.Is(err, fault.Stale) {
			d.config.Pool.Drop(lead.Held.Address)
		}
		return false, err
	}
	d.config.Pool.Learn(answer.Entries)
	d.config.Policies.Take(answer.Offer)
	return answer.Revision != 0 && answer.Revision < own.Revision, nil
}
