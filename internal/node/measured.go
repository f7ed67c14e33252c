package node

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/metric"
)

// measuredStore counts the calls to a store by outcome, measures their durations in milliseconds, and records in health
// whether the store answers.
type measuredStore struct {
	store   kv.Store
	metrics *metric.Registry
	health  *kv.Health
}

var _ kv.Store = measuredStore{}

// record records a call with its start time and its error.
func (m measuredStore) record(call string, startedAt time.Time, err error) {
	m.health.Record(startedAt, err)
	outcome := "done"
	if err != nil {
		outcome = fault.KindOf(err).String()
	}
	m.metrics.Counter("store." + call + "." + outcome).Inc(1)
	m.metrics.Histogram("store." + call + "_ms").Update(time.Since(startedAt).Milliseconds())
}

// Get implements kv.Store.
func (m measuredStore) Get(ctx context.Context, key string) (kv.Item, error) {
	startedAt := time.Now()
	item, err := m.store.Get(ctx, key)
	m.record("get", startedAt, err)
	return item, err
}

// Range implements kv.Store.
func (m measuredStore) Range(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	startedAt := time.Now()
	items, at, err := m.store.Range(ctx, prefix)
	m.record("range", startedAt, err)
	return items, at, err
}

// Watch implements kv.Store.
func (m measuredStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	startedAt := time.Now()
	events, at, err := m.store.Watch(ctx, prefix, after, wait)
	m.record("watch", startedAt, err)
	return events, at, err
}

// Commit implements kv.Store.
func (m measuredStore) Commit(ctx context.Context, txn kv.Txn) (kv.Revision, error) {
	startedAt := time.Now()
	revision, err := m.store.Commit(ctx, txn)
	m.record("commit", startedAt, err)
	return revision, err
}

// Grant implements kv.Store.
func (m measuredStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	startedAt := time.Now()
	lease, err := m.store.Grant(ctx, ttl)
	m.record("grant", startedAt, err)
	return lease, err
}

// Renew implements kv.Store.
func (m measuredStore) Renew(ctx context.Context, lease kv.LeaseID) error {
	startedAt := time.Now()
	err := m.store.Renew(ctx, lease)
	m.record("renew", startedAt, err)
	return err
}

// End implements kv.Store.
func (m measuredStore) End(ctx context.Context, lease kv.LeaseID) error {
	startedAt := time.Now()
	err := m.store.End(ctx, lease)
	m.record("end", startedAt, err)
	return err
}
