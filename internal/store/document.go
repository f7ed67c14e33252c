package store

import (
	"context"
	"sync"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

const updateAttempts = 8

// Codec encodes a document as the bytes of its value and decodes it.
type Codec[T any] struct {
	encode func(T) ([]byte, error)
	decode func([]byte) (T, error)
}

// NewCodec returns a codec; decode also receives no bytes, for a key that was never written.
func NewCodec[T any](encode func(T) ([]byte, error), decode func([]byte) (T, error)) Codec[T] {
	return Codec[T]{encode: encode, decode: decode}
}

// Document is a value of the store that is replaced as a whole; it never reverts to an older version.
//
// The lock order is writeMu, then mu.
type Document[T any] struct {
	store Store
	key   string
	codec Codec[T]

	writeMu sync.Mutex

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

// Current returns the latest known value with its version, and whether there is one.
func (d *Document[T]) Current() (T, Version, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.value, d.version, d.loaded
}

// Size returns the size in bytes of the latest known value.
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
	return d.accept(record)
}

// Watch waits for a newer value, until the store's wait time ends.
func (d *Document[T]) Watch(ctx context.Context) error {
	_, version, _ := d.Current()
	record, err := d.store.Watch(ctx, d.key, version)
	if err != nil {
		return err
	}
	return d.accept(record)
}

func (d *Document[T]) accept(record Record) error {
	d.mu.Lock()
	known, loaded := d.version, d.loaded
	d.mu.Unlock()
	if record.Version() < known {
		return fault.New(fault.Unavailable, "the store returned version %d of %s after version %d", record.Version(), d.key, known)
	}
	if loaded && record.Version() == known {
		return nil
	}
	value, err := d.codec.decode(record.Value())
	if err != nil {
		return err
	}
	d.set(record.Version(), value, len(record.Value()))
	return nil
}

// Set sets a value that was obtained elsewhere, unless a later one is known.
func (d *Document[T]) Set(version Version, value T) { d.set(version, value, 0) }

func (d *Document[T]) set(version Version, value T, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loaded && version <= d.version {
		return
	}
	d.version, d.value, d.size, d.loaded = version, value, size, true
}

// Update changes the value by one swap; change returns false to leave it unchanged.
//
// The change is applied again to the value that a concurrent writer or its own lost swap left, so it must return false if it is
// already done. OutcomeUnknown is returned only if that value cannot be read.
func (d *Document[T]) Update(ctx context.Context, change func(T) (T, bool, error)) (T, error) {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	var zero T
	unknown := false
	if _, _, loaded := d.Current(); !loaded {
		if err := d.Load(ctx); err != nil {
			return zero, err
		}
	}
	for range updateAttempts {
		value, err := d.tryUpdate(ctx, change)
		if err == nil {
			return value, nil
		}
		if isChangeError(err) {
			return zero, withOutcome(err, unknown)
		}
		kind := fault.KindOf(err)
		unknown = unknown || kind == fault.OutcomeUnknown
		if kind != fault.Conflict && kind != fault.OutcomeUnknown {
			return zero, withOutcome(err, unknown)
		}
		if err := d.Load(ctx); err != nil {
			return zero, withOutcome(err, unknown)
		}
	}
	return zero, withOutcome(fault.New(fault.Unavailable, "%s was changed concurrently in every attempt", d.key), unknown)
}

// changeError marks an error of the change itself, to distinguish it from an error of the swap.
type changeError struct{ error }

// Unwrap returns the error of the change.
func (r changeError) Unwrap() error { return r.error }

func isChangeError(err error) bool {
	_, ok := err.(changeError) //nolint:errorlint // it is never wrapped
	return ok
}

func withOutcome(err error, unknown bool) error {
	if unknown && !isChangeError(err) {
		return fault.Wrap(err, fault.OutcomeUnknown, "it is not known whether the write took effect")
	}
	if r, ok := err.(changeError); ok { //nolint:errorlint // it is never wrapped
		return r.error
	}
	return err
}

func (d *Document[T]) tryUpdate(ctx context.Context, change func(T) (T, bool, error)) (T, error) {
	current, version, _ := d.Current()
	next, changed, err := change(current)
	if err != nil {
		return current, changeError{err}
	}
	if !changed {
		return current, nil
	}
	value, err := d.codec.encode(next)
	if err != nil {
		return current, changeError{err}
	}
	written, err := d.store.Swap(ctx, d.key, version, value)
	if err != nil {
		return current, err
	}
	d.set(written, next, len(value))
	return next, nil
}
