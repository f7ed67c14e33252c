package kv

import (
	"context"
	"time"
)

// Revision numbers the changes of the whole store; 0 stands for an absent key.
type Revision uint64

// LeaseID names a lease of the store; 0 stands for none.
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

// Value returns the bytes of the item, which are not to be changed.
func (i Item) Value() []byte { return i.value }

// Revision returns the revision of the last change, 0 for an absent key.
func (i Item) Revision() Revision { return i.revision }

// Event is a change that a watch saw.
type Event struct {
	item Item
	gone bool
}

// NewEvent returns a change; gone says that the key was removed.
func NewEvent(item Item, gone bool) Event { return Event{item: item, gone: gone} }

// Item returns the item as written, without a value where it is gone.
func (e Event) Item() Item { return e.item }

// Removed reports whether the key was removed.
func (e Event) Removed() bool { return e.gone }

// Condition holds while a key is at a revision; revision 0 asks for its absence.
type Condition struct {
	Key      string
	Revision Revision
}

// Put is a key to be written, which goes with its lease where one is named.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// MaxEntries is how many conditions, puts and removals one transaction holds, by the platform's page.
const MaxEntries = 32

// Txn is a change of several keys that is made whole or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// Store is the platform's key-value store.
//
// Errors are of kind Unavailable or Overloaded when the call surely had no effect, OutcomeUnknown when
// its answer was lost and it may still be done, Conflict when a condition failed, and NotFound when a lease is over.
type Store interface {
	// Get returns the item of a key as of now; an absent key has revision 0.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items under a prefix and the revision from which a watch misses nothing.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Watch returns the changes under a prefix after a revision and where to go on, without changes when wait is over;
	// a history that is gone is of kind Stale.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Commit makes the change and returns its revision.
	Commit(ctx context.Context, change Txn) (Revision, error)
	// Grant opens a lease that lasts ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew lets the lease last its whole time from now on.
	Renew(ctx context.Context, lease LeaseID) error
	// End gives the lease up; its keys go.
	End(ctx context.Context, lease LeaseID) error
}
