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

// timingOf lets one watch stop responding and the next one confirm the closures before they count as stale: 0.4 s, 0.8
// s until the unresponsive one is canceled, and 0.4 s again are below the 2 s that a bound of 5 s allows. Only the
// leader follows closures, so this costs two and a half reads a second for the whole fleet.
func timingOf(staleAfter time.Duration) follow.Timing {
	const waits, retries = 5, 20
	return follow.Timing{Wait: staleAfter / waits, MaxRetryDelay: staleAfter / retries}
}

// staleShare is the share of the time limit for a closure to be in force after which unconfirmed closures count as stale.
// An agent applies the same share to the closures that the leader sent, and the last fifth is for an order under way.
const staleShare = 0.4

// minStaleAfter keeps a short bound from preventing all starts: agents receive closures from the leader every 0.6 s.
const minStaleAfter = 1200 * time.Millisecond

// StaleAfter returns how long unconfirmed closures still allow a start, given the time within which a closure must be in
// force.
func StaleAfter(within time.Duration) time.Duration {
	return max(time.Duration(staleShare*float64(within)), minStaleAfter)
}

// Status is whether a hall is closed as of a revision of the store.
type Status struct {
	Closed bool
	// Revision orders statuses: a higher one is newer.
	Revision kv.Revision
}

// Closures are the halls that the operators have closed: one key for each under a prefix, with any value.
type Closures struct {
	store      kv.Store
	prefix     string
	staleAfter time.Duration
	logger     logging.Logger
	clock      boottime.Clock

	mu          sync.Mutex
	closedSince map[string]time.Time
	revision    kv.Revision
	// confirmedAt is the start of the last read that confirmed the closures; its age includes time in which the VM is
	// suspended.
	confirmedAt boottime.Instant
}

// New returns the closures under a prefix, not loaded yet; within is the time in which a closure must be in force.
func New(store kv.Store, prefix string, within time.Duration, clock boottime.Clock, logger logging.Logger) *Closures {
	return &Closures{
		store: store, prefix: prefix, staleAfter: StaleAfter(within), clock: clock, logger: logger, closedSince: make(map[string]time.Time),
	}
}

// Load reads the current closures.
func (c *Closures) Load(ctx context.Context) error {
	_, err := c.follower(func() {}).Next(ctx, 0)
	return err
}

// Run follows the closures until ctx ends, and calls changed after each change, without holding a lock.
func (c *Closures) Run(ctx context.Context, changed func()) {
	c.mu.Lock()
	after := c.revision
	c.mu.Unlock()
	c.follower(changed).Run(ctx, after)
}

func (c *Closures) follower(changed func()) *follow.PrefixFollower {
	handle := func(change follow.Change) error {
		if c.apply(change) {
			changed()
		}
		return nil
	}
	return follow.NewPrefixFollower(c.store, c.prefix, timingOf(c.staleAfter), handle, c.logger).WithClock(c.clock)
}

// Status returns whether a hall is closed.
func (c *Closures) Status(hall string) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, closed := c.closedSince[hall]
	return Status{Closed: closed, Revision: c.revision}
}

// Closed returns the closed halls with the time at which each closure was received.
func (c *Closures) Closed() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.closedSince)
}

// Stale reports whether the closures were confirmed so long ago that another hall may have been closed.
func (c *Closures) Stale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Now().Sub(c.confirmedAt) > c.staleAfter
}

// apply applies a change and reports whether it closed or opened a hall.
func (c *Closures) apply(change follow.Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The result of a call that a newer one has overtaken is outdated.
	if change.Revision < c.revision {
		return false
	}
	c.revision = change.Revision
	if change.RequestInstant.After(c.confirmedAt) {
		c.confirmedAt = change.RequestInstant
	}
	present := make(map[string]bool, len(change.Events))
	changed := false
	for _, e := range change.Events {
		hall, ok := strings.CutPrefix(e.Item().Key(), c.prefix)
		if !ok || hall == "" {
			continue
		}
		present[hall] = true
		changed = c.set(hall, !e.Removed()) || changed
	}
	for hall := range c.closedSince {
		if change.Snapshot && !present[hall] {
			changed = c.set(hall, false) || changed
		}
	}
	return changed
}

// set records whether a hall is closed and reports whether that has changed.
func (c *Closures) set(hall string, closed bool) bool {
	since, known := c.closedSince[hall]
	switch {
	case closed == known:
		return false
	case closed:
		c.logger.Info("hall closed by the operators; hall=%s", hall)
		c.closedSince[hall] = time.Now()
	default:
		c.logger.Info("hall opened again; hall=%s closed_ms=%d", hall, time.Since(since).Milliseconds())
		delete(c.closedSince, hall)
	}
	return true
}
