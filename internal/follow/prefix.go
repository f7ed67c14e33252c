package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// minRetryDelay bounds the delay after the first failed call; the bound doubles with each further failure up to Timing.MaxRetryDelay.
const minRetryDelay = 100 * time.Millisecond

// Timing holds the timeouts and delays by which a prefix is followed.
type Timing struct {
	// Wait is how long a watch waits for a change; it bounds the time until an unresponsive watch is detected.
	Wait time.Duration
	// ConfirmedWait replaces Wait while the keys are confirmed by another process as well, 0 for Wait.
	ConfirmedWait time.Duration
	// MaxRetryDelay is the longest delay after a failed call. Delays are random, since many processes may follow one prefix.
	MaxRetryDelay time.Duration
}

// Change is the result of one call for the keys under a prefix.
type Change struct {
	Events []kv.Event
	// Snapshot reports whether Events holds all current keys rather than changes.
	Snapshot bool
	// Revision is the revision up to which the result is complete, RequestedAt when the call was made.
	Revision    kv.Revision
	RequestedAt time.Time
	// RequestInstant is when the call was made by the clock of the follower, zero without a clock.
	RequestInstant boottime.Instant
}

// PrefixFollower follows all keys under a prefix of the store.
type PrefixFollower struct {
	store  kv.Store
	prefix string
	timing Timing
	handle func(Change) error
	logger logging.Logger
	clock  boottime.Clock
	// failedAt is the time of the last failed call.
	failedAt time.Time
	// confirmed reports whether the keys are confirmed by another process as well; it may be nil.
	confirmed func() bool
}

// NewPrefixFollower returns a follower that passes all changes under a prefix to handle, and reads again after an error of handle.
func NewPrefixFollower(store kv.Store, prefix string, timing Timing, handle func(Change) error, logger logging.Logger) *PrefixFollower {
	return &PrefixFollower{store: store, prefix: prefix, timing: timing, handle: handle, logger: logger}
}

// WithClock sets the clock for Change.RequestInstant, and returns the follower.
func (p *PrefixFollower) WithClock(clock boottime.Clock) *PrefixFollower {
	p.clock = clock
	return p
}

// WithConfirmed sets the function that reports whether the keys are confirmed by another process, and returns the follower.
func (p *PrefixFollower) WithConfirmed(confirmed func() bool) *PrefixFollower {
	p.confirmed = confirmed
	return p
}

// watchTimeout returns how long the next watch waits.
func (p *PrefixFollower) watchTimeout() time.Duration {
	if p.timing.ConfirmedWait > 0 && p.confirmed != nil && p.confirmed() {
		return p.timing.ConfirmedWait
	}
	if !p.failedAt.IsZero() && time.Since(p.failedAt) < shortWaitPeriod {
		return min(p.timing.Wait, shortWait)
	}
	return p.timing.Wait
}

const (
	// shortWaitPeriod is how long after a failed call watches wait for shortWait at most: a store that has cut watches may leave the next ones waiting,
	// although they have missed a change.
	shortWaitPeriod = 2 * time.Second
	shortWait       = 300 * time.Millisecond
)

// Run follows the prefix after a revision until ctx ends; revision 0 reads all keys first.
func (p *PrefixFollower) Run(ctx context.Context, after kv.Revision) {
	backoff := wait.NewBackoff(min(minRetryDelay, p.timing.MaxRetryDelay), p.timing.MaxRetryDelay, rand.Float64)
	for ctx.Err() == nil {
		requestedAt := time.Now()
		next, err := p.Next(ctx, after)
		if err == nil {
			after = next
			backoff.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		p.failedAt = time.Now()
		if after != 0 {
			p.logger.Warn("the watch of %s failed; revision=%d after_ms=%d reason=%v",
				p.prefix, after, p.failedAt.Sub(requestedAt).Milliseconds(), err)
		}
		if fault.Is(err, fault.Stale) {
			after = 0
		}
		wait.For(ctx, backoff.Next())
	}
}

// Next reads all keys if after is 0 and waits for the next change otherwise, and returns the revision to continue from.
func (p *PrefixFollower) Next(ctx context.Context, after kv.Revision) (kv.Revision, error) {
	change := Change{Snapshot: after == 0, RequestedAt: time.Now()}
	if p.clock != nil {
		change.RequestInstant = p.clock.Now()
	}
	var err error
	if change.Snapshot {
		change.Events, change.Revision, err = p.readAll(ctx)
	} else {
		change.Events, change.Revision, err = p.store.Watch(ctx, p.prefix, after, p.watchTimeout())
	}
	if err == nil && change.Revision == 0 {
		// A watch cannot continue from revision 0.
		err = fault.New(fault.Unavailable, "the store returned no revision")
	}
	if err != nil {
		return 0, err
	}
	return change.Revision, p.handle(change)
}

func (p *PrefixFollower) readAll(ctx context.Context) ([]kv.Event, kv.Revision, error) {
	items, at, err := p.store.Range(ctx, p.prefix)
	events := make([]kv.Event, 0, len(items))
	for _, i := range items {
		events = append(events, kv.NewEvent(i, false))
	}
	return events, at, err
}
