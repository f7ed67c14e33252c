package intake

import (
	"context"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// Register adds the methods by which other processes call the store through this entry; calls are refused at once while the store does
// not answer this entry either.
func Register(m *rpc.Mux, store kv.Store, health *kv.Health) {
	rpc.Handle(m, link.MethodGet, func(ctx context.Context, _ *rpc.Peer, g link.Get) (link.Item, error) {
		if health.Down() {
			return link.Item{}, errStoreDown
		}
		item, err := store.Get(ctx, g.Key)
		return link.Item{Value: item.Value(), Revision: uint64(item.Revision())}, err
	})
	rpc.Handle(m, link.MethodCommit, func(ctx context.Context, _ *rpc.Peer, c link.Commit) (link.CommitAnswer, error) {
		if health.Down() {
			return link.CommitAnswer{}, errStoreDown
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

var errStoreDown = fault.New(fault.Unavailable, "the store does not answer this entry either, nothing was sent to it")
