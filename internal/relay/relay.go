package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// minDirectTimeout and maxDirectTimeout bound the timeout of a direct call to the store: slow answers take some 250 ms and are
	// worth waiting for, a silent connection is not.
	minDirectTimeout = 150 * time.Millisecond
	maxDirectTimeout = 700 * time.Millisecond
	// minSecondTimeout is the minimum timeout of the second direct attempt, enough for a slow answer of the store.
	minSecondTimeout = 400 * time.Millisecond
	// peerTimeout bounds a call through an entry, which itself waits for the store: it allows for a slow answer, and for two of the
	// three entries tried not to answer.
	peerTimeout = 450 * time.Millisecond
	// avoidDuration is how long after a failed direct call the entries are tried before the store itself.
	avoidDuration = time.Second
	// roundDelay is the delay between rounds of attempts; minLimitedDelay and maxLimitedDelay bound the backoff added under rate limiting.
	roundDelay      = 60 * time.Millisecond
	minLimitedDelay = 60 * time.Millisecond
	// maxEntryDelay bounds the random delay before an entry is called in place of a store that rate limited the call.
	maxEntryDelay   = 30 * time.Millisecond
	maxLimitedDelay = 500 * time.Millisecond
	// callTimeout bounds all attempts at one call: two slow answers of the store, after which the caller is asked to retry later.
	callTimeout = 1500 * time.Millisecond
	// downDuration is how long calls are refused at once after no path to the store gave an answer; then a single call tries again.
	downDuration = 400 * time.Millisecond
)

// Store calls the platform's store directly or through an entry.
type Store struct {
	direct  kv.Store
	health  *kv.Health
	pool    *Pool
	timeout *wait.Timeout

	mu sync.Mutex
	// sentAt is when the store was last called directly.
	sentAt time.Time
	// unavailableUntil is until when the store is assumed to answer no process, as the leader and this process determined at
	// unavailableSince; cancelCalls then ends callContext.
	unavailableUntil time.Time
	unavailableSince time.Time
	callContext      context.Context
	cancelCalls      context.CancelFunc
	// downSince is when no path to the store last gave an answer, zero after one did; probing is set while one call tries again.
	downSince time.Time
	probing   bool
}

// New returns a store that calls the direct one, whose health is given, or the entries of a pool.
func New(direct kv.Store, health *kv.Health, pool *Pool) *Store {
	s := &Store{direct: direct, health: health, pool: pool, timeout: wait.NewTimeout(minDirectTimeout, maxDirectTimeout)}
	s.callContext, s.cancelCalls = context.WithCancel(context.Background())
	return s
}

// attempt is a call by one path to the store.
type attempt func(ctx context.Context) error

// Get returns the current item of a key.
func (s *Store) Get(ctx context.Context, key string) (kv.Item, error) {
	var item kv.Item
	direct := func(ctx context.Context) (err error) {
		item, err = s.direct.Get(ctx, key)
		return err
	}
	peer := func(p *rpc.Peer) attempt {
		return func(ctx context.Context) error {
			answer, err := rpc.Call[link.Get, link.Item](ctx, p, link.MethodGet, link.Get{Key: key})
			item = kv.NewItem(key, answer.Value, kv.Revision(answer.Revision))
			return err
		}
	}
	err := s.try(ctx, direct, peer)
	return item, err
}

// Commit commits a transaction that is safe to repeat, since it sets a condition on each of its keys.
func (s *Store) Commit(ctx context.Context, change kv.Txn) error {
	request := link.Commit{Conditions: map[string]uint64{}, Puts: map[string][]byte{}}
	for _, c := range change.Conditions {
		request.Conditions[c.Key] = uint64(c.Revision)
	}
	for _, p := range change.Puts {
		request.Puts[p.Key] = p.Value
	}
	direct := func(ctx context.Context) error {
		_, err := s.direct.Commit(ctx, change)
		return err
	}
	peer := func(p *rpc.Peer) attempt {
		return func(ctx context.Context) error {
			_, err := rpc.Call[link.Commit, link.CommitAnswer](ctx, p, link.MethodCommit, request)
			return err
		}
	}
	return s.try(ctx, direct, peer)
}

// try calls the store by each path in turn until one gives an answer or ctx ends.
//
// The error is of kind OutcomeUnknown if any attempt may have taken effect.
func (s *Store) try(ctx context.Context, direct attempt, peer func(*rpc.Peer) attempt) error {
	if !s.admit() {
		return fault.New(fault.Unavailable, "the store did not answer recent calls, nothing was sent to it")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer s.onUnavailable(cancel)()
	var unknown error
	backoff := wait.NewBackoff(minLimitedDelay, maxLimitedDelay, rand.Float64)
	for {
		err := s.round(ctx, direct, peer, &unknown)
		limited := s.limited(err)
		s.recordOutcome(isFinal(err) || limited)
		if isFinal(err) {
			return err
		}
		wait.For(ctx, roundDelay)
		if limited {
			wait.For(ctx, backoff.Next())
		}
		if ctx.Err() == nil {
			continue
		}
		switch {
		case unknown != nil:
			return unknown
		case fault.Is(err, fault.Overloaded):
			return fault.Wrap(err, fault.Overloaded, "the store is rate limiting calls")
		}
		return fault.Wrap(err, fault.Unavailable, "the store cannot be reached")
	}
}

// limited reports whether the store rejected a call because of the rate of all processes, which does not make it unavailable.
func (s *Store) limited(err error) bool { return fault.Is(err, fault.Overloaded) && s.health.Limited() }

// round tries each path once, and sets unknown if any attempt may have taken effect.
func (s *Store) round(ctx context.Context, direct attempt, peer func(*rpc.Peer) attempt, unknown *error) error {
	lastErr := error(fault.New(fault.Unavailable, "no entry can be reached"))
	record := func(err error) bool {
		if unanswered(err) {
			*unknown = fault.Wrap(err, fault.OutcomeUnknown, "the store's answer was lost")
		}
		lastErr = err
		return isFinal(err)
	}
	avoidDirect := s.avoidDirect()
	if !avoidDirect && record(s.callDirect(ctx, direct)) {
		return lastErr
	}
	maxEntries, limited := maxPeers, s.limited(lastErr)
	if limited {
		// The store may be rejecting only this process. If it rate limits all of them, each further entry would add to the load.
		maxEntries = 1
		wait.For(ctx, time.Duration(rand.Float64()*float64(maxEntryDelay)))
	}
	if ctx.Err() != nil {
		return lastErr
	}
	for _, p := range s.pool.Peers(ctx, maxEntries) {
		bounded, cancel := context.WithTimeout(ctx, peerTimeout)
		err := peer(p)(bounded)
		cancel()
		if unanswered(err) {
			// The connection may be unresponsive; the next call opens a new one.
			p.Close()
		}
		if record(err) {
			if limited {
				s.health.MarkRejected()
			}
			return lastErr
		}
		if ctx.Err() != nil {
			return lastErr
		}
	}
	if avoidDirect {
		record(s.callDirect(ctx, direct))
	}
	return lastErr
}

// callDirect calls the store itself, and once more on a new connection with a longer timeout if there is no answer.
func (s *Store) callDirect(ctx context.Context, direct attempt) error {
	timeout := s.timeout.First()
	err := s.callOnce(ctx, direct, timeout)
	if !unanswered(err) {
		return err
	}
	secondErr := s.callOnce(ctx, direct, max(s.timeout.Extend(timeout), minSecondTimeout))
	if isFinal(secondErr) || unanswered(secondErr) {
		return secondErr
	}
	return err
}

// avoidDirect reports whether the store itself is tried last, since it did not answer this process a moment ago.
func (s *Store) avoidDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.Down() && time.Since(s.sentAt) < avoidDuration
}

// callOnce makes one direct attempt with a timeout.
func (s *Store) callOnce(ctx context.Context, direct attempt, timeout time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	s.mu.Lock()
	s.sentAt = sentAt
	s.mu.Unlock()
	err := direct(bounded)
	if isFinal(err) {
		s.timeout.Observe(time.Since(sentAt))
	}
	return err
}

// unanswered reports whether a call got no answer, so that it may have taken effect.
func unanswered(err error) bool {
	return fault.Is(err, fault.OutcomeUnknown) || fault.Is(err, fault.DeadlineExceeded)
}

// isFinal reports whether the result is an answer that other paths would not change.
func isFinal(err error) bool {
	kinds := []fault.Kind{fault.Conflict, fault.NotFound, fault.BadInput, fault.TooLarge}
	return err == nil || slices.Contains(kinds, fault.KindOf(err))
}
