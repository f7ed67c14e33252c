package store

import (
	"context"
	"sync"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

const updateAttempts = 8

// Codec maps a document to the bytes of its value and back.
type Codec[T any] struct {
	encode func(T) ([]byte, error)
	decode func([]byte) (T, error)
}

// NewCodec returns a codec; decode is also given no bytes, for a key that was never written.
func NewCodec[T any](encode func(T) ([]byte, error), decode func([]byte) (T, error)) Codec[T] {
	return Codec[T]{encode: encode, decode: decode}
}

// Document is one value of the store that is changed as a whole; it never goes back to an older version.
//
// The lock order is writing, then mu.
type Document[T any] struct {
	store Store
	key   string
	codec Codec[T]

	writing sync.Mutex

	mu      sync.Mutex
	version Version
	value   T
	size    int
	loaded  bool
}

// NewDocument returns the document of a key, not loaded yet.
func NewDocument[T any](s Store, key string, codec Codec[T]) *Document[T] {
	return &Document[T]{store: s, key: key, codec: codec}
}

// Current returns the latest value that was seen with its version, and whether there is one.
func (d *Document[T]) Current() (T, Version, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.value, d.version, d.loaded
}

// Size returns the bytes of the latest value that was seen.
func (d *Document[T]) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.size
}

// Load reads the value from the store.
func (d *Document[T]) Load(ctx context.Context) error {
	record, err := d.store.Get(ctx, d.key)
	if err != nil {
		return err
	}
	return d.take(record)
}

// Watch waits for a newer value, until the store's wait ends.
func (d *Document[T]) Watch(ctx context.Context) error {
	_, version, _ := d.Current()
	record, err := d.store.Watch(ctx, d.key, version)
	if err != nil {
		return err
	}
	return d.take(record)
}

func (d *Document[T]) take(record Record) error {
	d.mu.Lock()
	seen, loaded := d.version, d.loaded
	d.mu.Unlock()
	if record.Version() < seen {
		return fault.New(fault.Unavailable, "the store answers version %d of %s after version %d", record.Version(), d.key, seen)
	}
	if loaded && record.Version() == seen {
		return nil
	}
	value, err := d.codec.decode(record.Value())
	if err != nil {
		return err
	}
	d.set(record.Version(), value, len(record.Value()))
	return nil
}

// Set takes over a value that was seen elsewhere, unless a later one is known.
func (d *Document[T]) Set(version Version, value T) { d.set(version, value, 0) }

func (d *Document[T]) set(version Version, value T, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loaded && version <= d.version {
		return
	}
	d.version, d.value, d.size, d.loaded = version, value, size, true
}

// Update changes the value by one swap; change returns false to leave it as it is.
//
// A change is tried again on what another writer or its own lost answer left, so it must
// do nothing where it finds itself done. OutcomeUnknown is returned only if that cannot be read.
func (d *Document[T]) Update(ctx context.Context, change func(T) (T, bool, error)) (T, error) {
	d.writing.Lock()
	defer d.writing.Unlock()
	var zero T
	doubt := false
	if _, _, loaded := d.Current(); !loaded {
		if err := d.Load(ctx); err != nil {
			return zero, err
		}
	}
	for range updateAttempts {
		value, err := d.try(ctx, change)
		if err == nil {
			return value, nil
		}
		if refused(err) {
			return zero, doubted(err, doubt)
		}
		kind := fault.KindOf(err)
		doubt = doubt || kind == fault.OutcomeUnknown
		if kind != fault.Conflict && kind != fault.OutcomeUnknown {
			return zero, doubted(err, doubt)
		}
		if err := d.Load(ctx); err != nil {
			return zero, doubted(err, doubt)
		}
	}
	return zero, doubted(fault.New(fault.Unavailable, "%s was changed by others again and again", d.key), doubt)
}

// refusal marks an error of the change itself, so that it is not mistaken for one of the swap.
type refusal struct{ error }

// Unwrap returns the error of the change.
func (r refusal) Unwrap() error { return r.error }

func refused(err error) bool {
	_, ok := err.(refusal) //nolint:errorlint // it is never wrapped
	return ok
}

func doubted(err error, doubt bool) error {
	if doubt && !refused(err) {
		return fault.Wrap(err, fault.OutcomeUnknown, "it is not known whether the write took effect")
	}
	if r, ok := err.(refusal); ok { //nolint:errorlint // it is never wrapped
		return r.error
	}
	return err
}

func (d *Document[T]) try(ctx context.Context, change func(T) (T, bool, error)) (T, error) {
	current, version, _ := d.Current()
	next, changed, err := change(current)
	if err != nil {
		return current, refusal{err}
	}
	if !changed {
		return current, nil
	}
	value, err := d.codec.encode(next)
	if err != nil {
		return current, refusal{err}
	}
	written, err := d.store.Swap(ctx, d.key, version, value)
	if err != nil {
		return current, err
	}
	d.set(written, next, len(value))
	return next, nil
}
