package follow

import (
	"context"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

// timing lets each of many processes follow a key with few calls beside the store's rate. A leader whose watch is cut learns of a configuration by the
// next attempt, and entries that do not reach the store by the leader.
var timing = Timing{Wait: 1500 * time.Millisecond, ConfirmedWait: 10 * time.Second, MaxRetryDelay: 400 * time.Millisecond}

// confirmationTTL is how long after it was vouched for a value is known to be the newest.
const confirmationTTL = time.Second

// Value is a decoded value and the revision at which it was written, 0 where the key is absent.
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

// New returns a follower of a key that has not read it yet.
func New[T any](store kv.Store, key string, decode func([]byte) (T, error), logger logging.Logger) *Follower[T] {
	return &Follower[T]{
		store: store, key: key, decode: decode, logger: logger, done: make(chan struct{}), changed: make(chan struct{}),
	}
}

// Done returns the channel that is closed when Run has ended.
func (f *Follower[T]) Done() <-chan struct{} { return f.done }

// Value returns the newest value and whether the key was read or offered at all.
func (f *Follower[T]) Value() (Value[T], bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value, f.known
}

// Verified returns when the store last confirmed the value.
func (f *Follower[T]) Verified() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.verifiedAt
}

// Confirm records that another process that follows the key has confirmed the value just now, so that the store is asked less often.
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

// Offer takes a value that came another way, unless a newer one is known.
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

// Refresh reads the key as of now.
func (f *Follower[T]) Refresh(ctx context.Context) (kv.Revision, error) {
	asked := time.Now()
	item, err := f.store.Get(ctx, f.key)
	if err != nil {
		return 0, err
	}
	return item.Revision(), f.update(item, item.Revision(), asked)
}

// update keeps an item; at is the revision at which it is known to be the newest.
func (f *Follower[T]) update(item kv.Item, at kv.Revision, asked time.Time) error {
	var held T
	if item.Revision() > 0 {
		decoded, err := f.decode(item.Value())
		if err != nil {
			return err
		}
		held = decoded
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.verifiedAt = asked
	if item.Revision() == 0 {
		f.setAbsent(at)
		return nil
	}
	f.set(Value[T]{Decoded: held, Revision: item.Revision()})
	return nil
}

// setAbsent takes note that the key is absent.
func (f *Follower[T]) setAbsent(at kv.Revision) {
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

// applyChange takes what a call told of the key, among others that it is the beginning of.
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
