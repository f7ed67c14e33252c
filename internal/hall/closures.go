package hall

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/follow"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

// timingOf lets one watch go silent and the next confirm what is known before that counts as stale: 0.4 s, 0.8 s until the silent
// one is given up, and 0.4 s again are under the 2 s that a bound of 5 s allows. Only the lead follows closures, so that this costs
// two and a half reads a second for the whole fleet.
func timingOf(stale time.Duration) follow.Timing {
	const waits, retries = 5, 20
	return follow.Timing{Wait: stale / waits, Retry: stale / retries}
}

// staleShare is the part of the time in which a closure has to be in force after which what is known counts as stale. An agent
// keeps to the same part for what it was told, and the last fifth is for an order that is under way.
const staleShare = 0.4

// leastStale keeps a short bound from stopping all starts: agents hear from the lead once in 0.6 s.
const leastStale = 1200 * time.Millisecond

// StaleAfter returns after how long what is known of closures no longer allows a start, by the time in which a closure has to be
// in force.
func StaleAfter(within time.Duration) time.Duration {
	return max(time.Duration(staleShare*float64(within)), leastStale)
}

// Status is whether a hall is closed as of a revision of the store.
type Status struct {
	Closed bool
	// Revision orders what is known: a higher one is newer.
	Revision kv.Revision
}

// Closures are the halls that the operators have closed: a key under a prefix for each, whatever its value.
type Closures struct {
	store  kv.Store
	prefix string
	stale  time.Duration
	logger logging.Logger
	clock  boottime.Clock

	mu       sync.Mutex
	since    map[string]time.Time
	revision kv.Revision
	// confirmed is when the store was last asked for what is known; it grows old while the VM is suspended.
	confirmed boottime.Instant
}

// New returns the closures under a prefix, of which nothing is known yet; each has to be in force within a time.
func New(store kv.Store, prefix string, within time.Duration, clock boottime.Clock, logger logging.Logger) *Closures {
	return &Closures{
		store: store, prefix: prefix, stale: StaleAfter(within), clock: clock, logger: logger, since: make(map[string]time.Time),
	}
}

// Load reads the closures as of now.
func (c *Closures) Load(ctx context.Context) error {
	_, err := c.follower(func() {}).Next(ctx, 0)
	return err
}

// Run follows the closures until ctx ends, and calls changed after each change, without a lock held.
func (c *Closures) Run(ctx context.Context, changed func()) {
	c.mu.Lock()
	after := c.revision
	c.mu.Unlock()
	c.follower(changed).Run(ctx, after)
}

func (c *Closures) follower(changed func()) *follow.Prefix {
	take := func(change follow.Change) error {
		if c.apply(change) {
			changed()
		}
		return nil
	}
	return follow.NewPrefix(c.store, c.prefix, timingOf(c.stale), take, c.logger).Timed(c.clock)
}

// Status returns whether a hall is closed.
func (c *Closures) Status(hall string) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, closed := c.since[hall]
	return Status{Closed: closed, Revision: c.revision}
}

// Closed returns since when each closed hall is known to be.
func (c *Closures) Closed() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.since)
}

// Stale reports whether the store has confirmed what is known so long ago that a hall may be closed without its being known.
func (c *Closures) Stale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.confirmed) > c.stale
}

// apply takes a change and reports whether a hall was closed or opened by it.
func (c *Closures) apply(change follow.Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// What a call tells that was overtaken by a newer one is older.
	if change.At < c.revision {
		return false
	}
	c.revision = change.At
	if change.Began.After(c.confirmed) {
		c.confirmed = change.Began
	}
	named := make(map[string]bool, len(change.Events))
	changed := false
	for _, e := range change.Events {
		hall, ok := strings.CutPrefix(e.Item().Key(), c.prefix)
		if !ok || hall == "" {
			continue
		}
		named[hall] = true
		changed = c.set(hall, !e.Gone()) || changed
	}
	for hall := range c.since {
		if change.Whole && !named[hall] {
			changed = c.set(hall, false) || changed
		}
	}
	return changed
}

// set takes note of whether a hall is closed and reports whether that is new.
func (c *Closures) set(hall string, closed bool) bool {
	since, known := c.since[hall]
	switch {
	case closed == known:
		return false
	case closed:
		c.logger.Info("hall closed by the operators; hall=%s", hall)
		c.since[hall] = time.Now()
	default:
		c.logger.Info("hall opened again; hall=%s closed_ms=%d", hall, time.Since(since).Milliseconds())
		delete(c.since, hall)
	}
	return true
}
