package fleettest

import (
	"context"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
)

// responseTime is the response time of the store.
const responseTime = 4 * time.Millisecond

// meteredStore is the store shared by all processes, which counts their calls and rejects those above a rate.
type meteredStore struct {
	*kvtest.Store

	mu sync.Mutex
	// rate is how many calls a second are answered, 0 for no limit; remaining are the calls left in the second that starts at window.
	rate, remaining int
	window          time.Time
	refused         int
}

func newMeteredStore() *meteredStore { return &meteredStore{Store: kvtest.New()} }

func (s *meteredStore) setRate(rate int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate, s.remaining, s.window = rate, rate, time.Now()
}

// refusals returns how many calls were rejected by the rate limit.
func (s *meteredStore) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// admit counts a call against the rate limit.
func (s *meteredStore) admit() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate == 0 {
		return nil
	}
	if now := time.Now(); now.Sub(s.window) >= time.Second {
		s.remaining, s.window = s.rate, now
	}
	if s.remaining == 0 {
		s.refused++
		return fault.New(fault.Overloaded, "rate limited")
	}
	s.remaining--
	return nil
}

// client is the store as used by one process.
type client struct {
	*meteredStore
	health *kv.Health

	callsMu sync.Mutex
	calls   int
}

// count returns how many calls the process has made.
func (c *client) count() int {
	c.callsMu.Lock()
	defer c.callsMu.Unlock()
	return c.calls
}

// do makes one call.
func (c *client) do(ctx context.Context, call func() error) error {
	c.callsMu.Lock()
	c.calls++
	c.callsMu.Unlock()
	sentAt := time.Now()
	err := c.admit()
	select {
	case <-ctx.Done():
		err = fault.New(fault.OutcomeUnknown, "no answer")
	case <-time.After(responseTime):
	}
	if err == nil {
		err = call()
	}
	c.health.Record(sentAt, err)
	return err
}

// Get implements kv.Store.
func (c *client) Get(ctx context.Context, key string) (item kv.Item, err error) {
	err = c.do(ctx, func() (err error) {
		item, err = c.Store.Get(ctx, key)
		return err
	})
	return item, err
}

// Range implements kv.Store.
func (c *client) Range(ctx context.Context, prefix string) (items []kv.Item, at kv.Revision, err error) {
	err = c.do(ctx, func() (err error) {
		items, at, err = c.Store.Range(ctx, prefix)
		return err
	})
	return items, at, err
}

// Watch implements kv.Store.
func (c *client) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) (events []kv.Event, at kv.Revision, err error) {
	err = c.do(ctx, func() (err error) {
		events, at, err = c.Store.Watch(ctx, prefix, after, wait)
		return err
	})
	return events, at, err
}

// Commit implements kv.Store.
func (c *client) Commit(ctx context.Context, change kv.Txn) (revision kv.Revision, err error) {
	err = c.do(ctx, func() (err error) {
		revision, err = c.Store.Commit(ctx, change)
		return err
	})
	return revision, err
}

// Grant implements kv.Store.
func (c *client) Grant(ctx context.Context, ttl time.Duration) (lease kv.LeaseID, err error) {
	err = c.do(ctx, func() (err error) {
		lease, err = c.Store.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// Renew implements kv.Store.
func (c *client) Renew(ctx context.Context, lease kv.LeaseID) error {
	return c.do(ctx, func() error { return c.Store.Renew(ctx, lease) })
}

// End implements kv.Store.
func (c *client) End(ctx context.Context, lease kv.LeaseID) error {
	return c.do(ctx, func() error { return c.Store.End(ctx, lease) })
}
