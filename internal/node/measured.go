package node

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/metric"
)

// measuredStore counts the calls to a store by their outcome, and how long they take in milliseconds, and notes what they show
// of the way there.
type measuredStore struct {
	store   kv.Store
	metrics *metric.Registry
	health  *kv.Health
}

var _ kv.Store = measuredStore{}

// record counts a call that began at a time.
func (m measuredStore) record(call string, began time.Time, err error) {
	m.health.Record(began, err)
	outcome := "done"
	if err != nil {
		outcome = fault.KindOf(err).String()
	}
	m.metrics.Counter("store." + call + "." + outcome).Inc(1)
	m.metrics.Histogram("store." + call + "_ms").Update(time.Since(began).Milliseconds())
}

// Get implements kv.Store.
func (m measuredStore) Get(ctx context.Context, key string) (kv.Item, error) {
	began := time.Now()
	item, err := m.store.Get(ctx, key)
	m.record("get", began, err)
	return item, err
}

// Range implements kv.Store.
func (m measuredStore) Range(ctx context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	began := time.Now()
	items, at, err := m.store.Range(ctx, prefix)
	m.record("range", began, err)
	return items, at, err
}

// Watch implements kv.Store.
func (m measuredStore) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	began := time.Now()
	events, at, err := m.store.Watch(ctx, prefix, after, wait)
	m.record("watch", began, err)
	return events, at, err
}

// Commit implements kv.Store.
func (m measuredStore) Commit(ctx context.Context, change kv.Txn) (kv.Revision, error) {
	began := time.Now()
	revision, err := m.store.Commit(ctx, change)
	m.record("commit", began, err)
	return revision, err
}

// Grant implements kv.Store.
func (m measuredStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	began := time.Now()
	lease, err := m.store.Grant(ctx, ttl)
	m.record("grant", began, err)
	return lease, err
}

// Renew implements kv.Store.
func (m measuredStore) Renew(ctx context.Context, lease kv.LeaseID) error {
	began := time.Now()
	err := m.store.Renew(ctx, lease)
	m.record("renew", began, err)
	return err
}

// End implements kv.Store.
func (m measuredStore) End(ctx context.Context, lease kv.LeaseID) error {
	began := time.Now()
	err := m.store.End(ctx, lease)
	m.record("end", began, err)
	return err
}
