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

// minRetryDelay bounds the pause after a call that failed; the bound after each further one is twice as long, up to Timing.Retry.
const minRetryDelay = 100 * time.Millisecond

// Timing is how a prefix is followed.
type Timing struct {
	// Wait is how long a watch waits: one that hears nothing more is noticed after it.
	Wait time.Duration
	// ConfirmedWait is the same while the keys are known by another way as well, 0 for Wait.
	ConfirmedWait time.Duration
	// MaxRetryDelay is the longest pause after a call that failed. Pauses are drawn, since many processes may follow one prefix.
	MaxRetryDelay time.Duration
}

// Change is what one call told of the keys under a prefix.
type Change struct {
	Events []kv.Event
	// Snapshot says that Events are all keys there are, and not what changed.
	Snapshot bool
	// Revision is the revision up to which this holds, Asked when the call was made.
	Revision    kv.Revision
	RequestedAt time.Time
	// RequestInstant is when the call was made by the clock of the prefix, zero where it has none.
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
	// failedAt is when a call failedAt last.
	failedAt time.Time
	// confirmed reports whether the keys are known by another way as well, nil where there is none.
	confirmed func() bool
}

// NewPrefixFollower returns what hands all changes under a prefix to take; what take fails for is read again.
func NewPrefixFollower(store kv.Store, prefix string, timing Timing, take func(Change) error, logger logging.Logger) *PrefixFollower {
	return &PrefixFollower{store: store, prefix: prefix, timing: timing, handle: take, logger: logger}
}

// WithClock sets the clock by which changes tell when they were asked for, and returns the prefix.
func (p *PrefixFollower) WithClock(clock boottime.Clock) *PrefixFollower {
	p.clock = clock
	return p
}

// WithConfirmed sets what tells whether the keys are known by another way as well, and returns the prefix.
func (p *PrefixFollower) WithConfirmed(vouched func() bool) *PrefixFollower {
	p.confirmed = vouched
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
	// shortWaitPeriod is how long after a watch failed the next ones wait for unsettledWait at most: a store that has cut watches may let further ones wait
	// without a word for what they missed.
	shortWaitPeriod = 2 * time.Second
	shortWait       = 300 * time.Millisecond
)

// Run follows the prefix after a revision until ctx ends; revision 0 stands for none that is known.
func (p *PrefixFollower) Run(ctx context.Context, after kv.Revision) {
	pause := wait.NewBackoff(min(minRetryDelay, p.timing.MaxRetryDelay), p.timing.MaxRetryDelay, rand.Float64)
	for ctx.Err() == nil {
		next, err := p.Next(ctx, after)
		if err == nil {
			after = next
			pause.Reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		p.failedAt = time.Now()
		if after != 0 {
			p.logger.Warn("the watch of %s failed; revision=%d reason=%v", p.prefix, after, err)
		}
		if fault.Is(err, fault.Stale) {
			after = 0
		}
		wait.For(ctx, pause.Next())
	}
}

// Next reads all keys where no revision is known, else waits for the next change, and returns the revision to go on from.
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
		// A watch cannot go on from there.
		err = fault.New(fault.Unavailable, "the store named no revision")
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
