package store

import (
	"context"
	"time"
)

// Version is the number of a value; it increases with each write and is 0 for a key that was never written.
type Version uint64

// Record is a value with its version.
type Record struct {
	version Version
	value   []byte
}

// NewRecord returns a record of a version and its value.
func NewRecord(version Version, value []byte) Record {
	return Record{version: version, value: value}
}

// Version returns the version of the value.
func (r Record) Version() Version { return r.version }

// Value returns the bytes, at most a megabyte; they must not be modified.
func (r Record) Value() []byte { return r.value }

// Lease is a name that one holder owns for a limited time.
type Lease struct {
	holder    string
	remaining time.Duration
}

// NewLease returns a lease of a holder that expires after remaining.
func NewLease(holder string, remaining time.Duration) Lease {
	return Lease{holder: holder, remaining: remaining}
}

// Holder returns the holder of the lease, empty if there is none.
func (l Lease) Holder() string { return l.holder }

// Remaining returns the remaining time of the lease, counted from before it was requested.
func (l Lease) Remaining() time.Duration { return l.remaining }

// Store is the platform's key-value service; each call and each waiting watch counts against its rate limit.
//
// Errors are of kind Unavailable if the call had no effect, OutcomeUnknown if its answer was lost, and Conflict if the version or the
// holder differs.
type Store interface {
	// Get returns the record of key; an absent key has version 0.
	Get(ctx context.Context, key string) (Record, error)
	// Swap writes value if the version is still from, and returns the new version.
	Swap(ctx context.Context, key string, from Version, value []byte) (Version, error)
	// Watch returns once the version of key is above after, or with the old record when the wait time ends.
	Watch(ctx context.Context, key string, after Version) (Record, error)
	// Acquire acquires or extends the lease; if another holder has it, that lease is returned with a Conflict.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Holder returns the current lease.
	Holder(ctx context.Context, name string) (Lease, error)
	// Release releases the lease if the holder has it.
	Release(ctx context.Context, name, holder string) error
}
