package intake

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// Register adds the methods by which other processes reach the store through this entry; what the store does not answer this
// entry either is refused at once.
func Register(m *rpc.Mux, store kv.Store, health *kv.Health) {
	rpc.Handle(m, link.MethodGet, func(ctx context.Context, _ *rpc.Peer, g link.Get) (link.Item, error) {
		if health.Down() {
			return link.Item{}, errNoWay
		}
		item, err := store.Get(ctx, g.Key)
		return link.Item{Value: item.Value(), Revision: uint64(item.Revision())}, err
	})
	rpc.Handle(m, link.MethodCommit, func(ctx context.Context, _ *rpc.Peer, c link.Commit) (link.CommitAnswer, error) {
		if health.Down() {
			return link.CommitAnswer{}, errNoWay
		}
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

var errNoWay = fault.New(fault.Unavailable, "the store does not answer this entry either, nothing was sent to it")

// Successor stands for the lead in place of one that is gone.
type Successor interface {
	// Suspect says that the lead of an epoch may be replaced.
	Suspect(epoch uint64, reason string)
}

const (
	// probeEvery is how often an entry tells the lead of itself, and finds out whether the store answers it, while the store
	// answers the lead no more; probePatience bounds the answer.
	probeEvery    = 200 * time.Millisecond
	probePatience = 300 * time.Millisecond
	// pingEvery is how often an entry tells the lead of itself; a quarter of the shortest time in which a
	// configuration has to be in force.
	pingEvery = 500 * time.Millisecond
	// pingPatience bounds the answer.
	pingPatience = 700 * time.Millisecond
)

// Ping tells the lead of this entry, and exchanges the newest configuration, until ctx ends.
func (d *Desk) Ping(ctx context.Context, node, address string, successor Successor) {
	p := pinger{Desk: d, node: node, address: address, successor: successor}
	for ctx.Err() == nil {
		ended, err := p.ping(ctx)
		if err != nil && ctx.Err() == nil {
			d.logger.Debug("the lead was not reached: %v", err)
		}
		if ended == nil && p.probing {
			p.probe(ctx)
		}
		pause := pingEvery
		if p.probing {
			pause = probeEvery
		}
		select {
		case <-ctx.Done():
		case <-ended:
		case <-time.After(pause):
		}
	}
}
