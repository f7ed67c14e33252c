package follow

import (
	"context"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

// timing keeps the calls of many processes that follow one key far below the store's rate limit. A leader whose watch is cut reads a new configuration
// with its next attempt; entries that cannot reach the store receive it from the leader.
var timing = Timing{Wait: 1500 * time.Millisecond, ConfirmedWait: 10 * time.Second, MaxRetryDelay: 400 * time.Millisecond}

// confirmationTTL is how long a value counts as the newest after another process has confirmed it.
const confirmationTTL = time.Second

// Value is a decoded value with the revision at which it was written, 0 if the key is absent.
type Value[T any] struct {
	Decoded  T
	Revision kv.Revision
}

// Follower keeps the newest value of a key.
type Follower[T any] struct {
	store  kv.Store
	key    string
	decode func([]byte) (T, error)
	logger logging.Logger
	done   chan struct{}

	mu          sync.Mutex
	value       Value[T]
	known       bool
	verifiedAt  time.Time
	confirmedAt time.Time
	changed     chan struct{}
}

// New returns a follower of a key, which it has not read yet.
func New[T any](store kv.Store, key string, decode func([]byte) (T, error), logger logging.Logger) *Follower[T] {
	return &Follower[T]{
		store: store, key: key, decode: decode, logger: logger, done: make(chan struct{}), changed: make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run returns.
func (f *Follower[T]) Done() <-chan struct{} { return f.done }

// Value returns the newest value, and reports whether the key has been read or offered yet.
func (f *Follower[T]) Value() (Value[T], bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value, f.known
}

// Verified returns the start of the last call by which the store confirmed the value.
func (f *Follower[T]) Verified() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.verifiedAt
}

// Confirm records that another process that follows the key has confirmed the value, so that watches may wait longer.
func (f *Follower[T]) Confirm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = time.Now()
}

func (f *Follower[T]) isConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmedAt) < confirmationTTL
}

// Changed returns a channel that is closed at the next change.
func (f *Follower[T]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Offer sets a value that was not received from the store, unless a newer one is known.
func (f *Follower[T]) Offer(v Value[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set(v)
}

func (f *Follower[T]) set(v Value[T]) {
	if f.known && v.Revision <= f.value.Revision {
		return
	}
	f.value, f.known = v, true
	close(f.changed)
	f.changed = make(chan struct{})
}

// Refresh reads the current value of the key, and returns its revision.
func (f *Follower[T]) Refresh(ctx context.Context) (kv.Revision, error) {
	requestedAt := time.Now()
	item, err := f.store.Get(ctx, f.key)
	if err != nil {
		return 0, err
	}
	return item.Revision(), f.update(item, item.Revision(), requestedAt)
}

// update sets the value by an item that is the newest as of the revision at.
func (f *Follower[T]) update(item kv.Item, at kv.Revision, requestedAt time.Time) error {
	var value T
	if item.Revision() > 0 {
		decoded, err := f.decode(item.Value())
		if err != nil {
			return err
		}
		value = decoded
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.verifiedAt = requestedAt
	if item.Revision() == 0 {
		f.clear(at)
		return nil
	}
	f.set(Value[T]{Decoded: value, Revision: item.Revision()})
	return nil
}

// clear records that the key is absent as of the revision at.
func (f *Follower[T]) clear(at kv.Revision) {
	if f.known && f.value.Revision == 0 {
		return
	}
	if f.known && at != 0 && at <= f.value.Revision {
		return
	}
	f.value, f.known = Value[T]{}, true
	close(f.changed)
	f.changed = make(chan struct{})
}

// Run follows the key until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	defer close(f.done)
	NewPrefixFollower(f.store, f.key, timing, f.applyChange, f.logger).WithConfirmed(f.isConfirmed).Run(ctx, 0)
}

// applyChange applies the events of the key, and skips those of other keys that the key is a prefix of.
func (f *Follower[T]) applyChange(c Change) error {
	found := false
	for _, e := range c.Events {
		if e.Item().Key() != f.key {
			continue
		}
		found = true
		item := e.Item()
		if e.Removed() {
			item = kv.NewItem(f.key, nil, 0)
		}
		if err := f.update(item, e.Item().Revision(), c.RequestedAt); err != nil {
			return err
		}
	}
	if found || !c.Snapshot {
		return nil
	}
	return f.update(kv.NewItem(f.key, nil, 0), c.Revision, c.RequestedAt)
}
