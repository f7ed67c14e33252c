package follow

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

// timing keeps the calls of many processes that follow one key far below the store's rate limit. A leader whose watch is cut reads a new configuration
// with its next attempt; entries that cannot reach the store receive it from the leader.
var timing = Timing{Wait: 1500 * time.Millisecond, ConfirmedWait: 10 * time.Second, MaxRetryDelay: 400 * time.Millisecond}

// confirmationTTL is how long a value counts as the newest after another process has confirmed it.
const confirmationTTL = time.Second

const (
	// largeSize is the size in bytes from which a known value is read again only if its revision has changed: a narrow link takes
	// seconds for several copies of it.
	largeSize = 32 << 10
	// narrowLink is the bandwidth in bytes per second of a link on which a watch is given the time to receive a changed value.
	narrowLink = 1_000_000
)

// watchDelay returns how long a read of a large value that has changed waits for the watch, which is receiving it as well unless it is silent.
func watchDelay(size int) time.Duration {
	return time.Duration(size) * time.Second / narrowLink
}

// Value is a decoded value with its size in bytes as stored and the revision at which it was written, 0 if the key is absent.
type Value[T any] struct {
	Decoded  T
	Size     int
	Revision kv.Revision
}

// Follower keeps the newest value of a key.
type Follower[T any] struct {
	store  kv.Store
	key    string
	decode func([]byte) (T, error)
	logger logging.Logger
	done   chan struct{}
	// reads shares one read among concurrent callers.
	reads singleflight.Group

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

// Verify returns once the value is accepted, or once the store has confirmed it by a call that started at or after a time; else it returns
// the error of that call.
func (f *Follower[T]) Verify(ctx context.Context, since time.Time, accepts func(T) bool) error {
	for {
		changed := f.Changed()
		if value, _ := f.Value(); accepts(value.Decoded) || !f.Verified().Before(since) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case r := <-f.startRead(ctx):
			if r.Err != nil {
				return r.Err
			}
		}
	}
}

// Refresh reads the current value of the key unless it is large and unchanged, and returns its revision. Concurrent calls share one
// read, which continues if ctx ends.
func (f *Follower[T]) Refresh(ctx context.Context) (kv.Revision, error) {
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case r := <-f.startRead(ctx):
		revision, _ := r.Val.(kv.Revision)
		return revision, r.Err
	}
}

// startRead starts a read unless one is in progress, and returns the channel of its result.
func (f *Follower[T]) startRead(ctx context.Context) <-chan singleflight.Result {
	return f.reads.DoChan(f.key, func() (any, error) { return f.read(context.WithoutCancel(ctx)) })
}

func (f *Follower[T]) read(ctx context.Context) (kv.Revision, error) {
	if value, _ := f.Value(); value.Size >= largeSize {
		if revision, done := f.readLarge(ctx, value); done {
			return revision, nil
		}
	}
	requestedAt := time.Now()
	item, err := f.store.Get(ctx, f.key)
	if err != nil {
		return 0, err
	}
	return item.Revision(), f.update(item, item.Revision(), requestedAt)
}

// readLarge verifies that a large value is current, or waits for the watch to receive a newer one; it returns false if the value has to
// be read.
func (f *Follower[T]) readLarge(ctx context.Context, known Value[T]) (kv.Revision, bool) {
	changed := f.Changed()
	requestedAt := time.Now()
	_, err := f.store.Commit(ctx, kv.Txn{Conditions: []kv.Condition{{Key: f.key, Revision: known.Revision}}})
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.value.Revision == known.Revision {
			f.markVerified(requestedAt)
		}
		return f.value.Revision, true
	}
	if !fault.Is(err, fault.Conflict) {
		return 0, false
	}
	select {
	case <-changed:
		value, _ := f.Value()
		return value.Revision, true
	case <-time.After(watchDelay(known.Size)):
		return 0, false
	}
}

// markVerified records that a call that started at a time has confirmed the value; f.mu is held.
func (f *Follower[T]) markVerified(requestedAt time.Time) {
	if requestedAt.After(f.verifiedAt) {
		f.verifiedAt = requestedAt
	}
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
	f.markVerified(requestedAt)
	if item.Revision() == 0 {
		f.clear(at)
		return nil
	}
	f.set(Value[T]{Decoded: value, Size: len(item.Value()), Revision: item.Revision()})
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
