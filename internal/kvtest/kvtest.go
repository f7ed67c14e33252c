package kvtest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
)

// Failure is a failure injected into a call.
type Failure int

// The kinds of failure.
const (
	None Failure = iota
	// Refused calls take no effect and return an error that says so.
	Refused
	// AnswerLost calls take effect, but their answer is lost.
	AnswerLost
	// Late calls take effect in ApplyLate, if their conditions still hold then; their answer is lost.
	Late
	// RequestLost calls take no effect, and their answer is lost.
	RequestLost
	// Invalid calls take no effect and are refused for their content.
	Invalid
)

// Store is an in-memory store.
type Store struct {
	mu          sync.Mutex
	revision    kv.Revision
	items       map[string]kv.Item
	history     []kv.Event
	droppedUpTo kv.Revision
	// leases are the current leases, owners the lease of each key that has one.
	leases  map[kv.LeaseID]struct{}
	owners  map[string]kv.LeaseID
	nextID  kv.LeaseID
	late    []kv.Txn
	commits int
	changed chan struct{}
	// failure returns the failure of the next commit, refuses reports whether the store refuses the content of a put.
	failure func() Failure
	refuses func(kv.Put) bool
	// delays reports whether a commit is late whatever its failure.
	delays func(kv.Txn) bool
}

var _ kv.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{items: make(map[string]kv.Item), leases: make(map[kv.LeaseID]struct{}), owners: make(map[string]kv.LeaseID), changed: make(chan struct{})}
}

// SetFailure sets the function that returns the failure of each following commit.
func (s *Store) SetFailure(failure func() Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = failure
}

// SetRefuses sets the function that reports whether the store refuses the content of a put.
func (s *Store) SetRefuses(refuses func(kv.Put) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = refuses
}

// SetDelays sets the function that selects the commits that are late, nil for none.
func (s *Store) SetDelays(delays func(kv.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays = delays
}

// ApplyLate applies the late commits in order.
func (s *Store) ApplyLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range s.late {
		_, _ = s.apply(change)
	}
	s.late = nil
}

// DropHistory drops the history of changes.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedUpTo = nil, s.revision
	s.notify()
}

// Commits returns the number of calls to Commit.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Keys returns all keys under a prefix in sorted order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get implements kv.Store.
func (s *Store) Get(_ context.Context, key string) (kv.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.items[key]; ok {
		return i, nil
	}
	return kv.NewItem(key, nil, 0), nil
}

// Range implements kv.Store.
func (s *Store) Range(_ context.Context, prefix string) ([]kv.Item, kv.Revision, error) {
	var items []kv.Item
	for _, key := range s.Keys(prefix) {
		s.mu.Lock()
		items = append(items, s.items[key])
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return items, s.revision, nil
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]kv.Event, kv.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, at, changed, err := s.eventsAfter(prefix, after)
		if err != nil || len(events) > 0 {
			return events, at, err
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-timer.C:
			return nil, at, nil
		case <-changed:
		}
	}
}

func (s *Store) eventsAfter(prefix string, after kv.Revision) ([]kv.Event, kv.Revision, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo {
		return nil, after, nil, fault.New(fault.Stale, "the history was dropped")
	}
	var events []kv.Event
	for _, e := range s.history {
		if e.Item().Revision() > after && strings.HasPrefix(e.Item().Key(), prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, nil
}

// Commit implements kv.Store.
func (s *Store) Commit(_ context.Context, change kv.Txn) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	if len(change.Conditions)+len(change.Puts)+len(change.Removes) > 2*kv.MaxEntries ||
		max(len(change.Conditions), len(change.Puts), len(change.Removes)) > kv.MaxEntries {
		return 0, fault.New(fault.BadInput, "more than %d entries", kv.MaxEntries)
	}
	if s.refuses != nil && slices.ContainsFunc(change.Puts, s.refuses) {
		return 0, fault.New(fault.BadInput, "refused as invalid")
	}
	failure := None
	if s.failure != nil {
		failure = s.failure()
	}
	if s.delays != nil && s.delays(change) {
		failure = Late
	}
	switch failure {
	case Refused:
		return 0, fault.New(fault.Unavailable, "refused")
	case Invalid:
		return 0, fault.New(fault.BadInput, "refused as invalid")
	case RequestLost:
		return 0, fault.New(fault.OutcomeUnknown, "no answer")
	case Late:
		s.late = append(s.late, change)
		return 0, fault.New(fault.OutcomeUnknown, "no answer")
	case AnswerLost:
		_, _ = s.apply(change)
		return 0, fault.New(fault.OutcomeUnknown, "no answer")
	case None:
	}
	return s.apply(change)
}

// CommitAsOperator commits a change on behalf of the operators, without injected failures.
func (s *Store) CommitAsOperator(change kv.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.apply(change)
	return err
}

func (s *Store) apply(change kv.Txn) (kv.Revision, error) {
	for _, c := range change.Conditions {
		if s.items[c.Key].Revision() != c.Revision {
			return 0, fault.New(fault.Conflict, "%s is at %d, not %d", c.Key, s.items[c.Key].Revision(), c.Revision)
		}
	}
	for _, p := range change.Puts {
		if _, known := s.leases[p.Lease]; p.Lease != 0 && !known {
			return 0, fault.New(fault.NotFound, "there is no lease %d", p.Lease)
		}
	}
	s.revision++
	for _, p := range change.Puts {
		item := kv.NewItem(p.Key, p.Value, s.revision)
		s.items[p.Key] = item
		s.history = append(s.history, kv.NewEvent(item, false))
		delete(s.owners, p.Key)
		if p.Lease != 0 {
			s.owners[p.Key] = p.Lease
		}
	}
	for _, key := range change.Removes {
		s.remove(key)
	}
	s.notify()
	return s.revision, nil
}

func (s *Store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	delete(s.owners, key)
	s.history = append(s.history, kv.NewEvent(kv.NewItem(key, nil, s.revision), true))
}

// Grant implements kv.Store; leases last until Expire or End.
func (s *Store) Grant(context.Context, time.Duration) (kv.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = struct{}{}
	return s.nextID, nil
}

// Renew implements kv.Store.
func (s *Store) Renew(_ context.Context, lease kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.leases[lease]; !known {
		return fault.New(fault.NotFound, "there is no lease %d", lease)
	}
	return nil
}

// End implements kv.Store.
func (s *Store) End(_ context.Context, lease kv.LeaseID) error {
	s.Expire(lease)
	return nil
}

// Expire ends a lease.
func (s *Store) Expire(lease kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeOwned(func(owner kv.LeaseID) bool { return owner == lease })
	delete(s.leases, lease)
	s.notify()
}

// removeOwned removes the keys whose lease is selected.
func (s *Store) removeOwned(selected func(kv.LeaseID) bool) {
	for _, key := range slices.Sorted(maps.Keys(s.owners)) {
		if selected(s.owners[key]) {
			s.remove(key)
		}
	}
}

// RemoveLeasedKeys removes the keys of all leases but keeps the leases, which no request of a client can observe.
func (s *Store) RemoveLeasedKeys() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeOwned(func(kv.LeaseID) bool { return true })
	s.notify()
}
