package kv

import (
	"context"
	"time"
)

// Revision numbers the changes of the whole store; 0 means an absent key.
type Revision uint64

// LeaseID identifies a lease of the store; 0 means none.
type LeaseID uint64

// Item is a key with its value.
type Item struct {
	key      string
	value    []byte
	revision Revision
}

// NewItem returns an item last changed at a revision.
func NewItem(key string, value []byte, revision Revision) Item {
	return Item{key: key, value: value, revision: revision}
}

// Key returns the key of the item.
func (i Item) Key() string { return i.key }

// Value returns the bytes of the item; they must not be modified.
func (i Item) Value() []byte { return i.value }

// Revision returns the revision of the last change, 0 for an absent key.
func (i Item) Revision() Revision { return i.revision }

// Event is a change reported by a watch.
type Event struct {
	item    Item
	removed bool
}

// NewEvent returns a change; removed means that the key was removed.
func NewEvent(item Item, removed bool) Event { return Event{item: item, removed: removed} }

// Item returns the item as written, without a value if it was removed.
func (e Event) Item() Item { return e.item }

// Removed reports whether the key was removed.
func (e Event) Removed() bool { return e.removed }

// Condition requires a key to be at a revision; revision 0 requires its absence.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key; if a lease is given, the key is removed when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// MaxEntries is the platform's documented limit of the conditions, puts and removals of one transaction.
const MaxEntries = 32

// Txn is an atomic change of several keys.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// Store is the platform's key-value store.
//
// Errors are of kind Unavailable or Overloaded if the call had no effect, OutcomeUnknown if its answer was lost and it may still take
// effect, Conflict if a condition failed, and NotFound if a lease has ended.
type Store interface {
	// Get returns the current item of a key; an absent key has revision 0.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items under a prefix and the revision from which a watch misses no change.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes under a prefix after a revision and the revision to continue from, without changes if none occur
	// within wait; the error is of kind Stale if the history since the revision has been dropped.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Commit commits the transaction and returns its revision.
	Commit(ctx context.Context, change Txn) (Revision, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its whole duration from now.
	Renew(ctx context.Context, lease LeaseID) error
	// End ends the lease and removes its keys.
	End(ctx context.Context, lease LeaseID) error
}
