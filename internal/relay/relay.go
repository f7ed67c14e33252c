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
	// directLeast and directMost bound a call to the store; slow answers take some 250 ms and are worth waiting for, a silent
	// connection is not.
	directLeast = 150 * time.Millisecond
	directMost  = 700 * time.Millisecond
	// secondLeast is the least patience of the second attempt: a slow answer of the store.
	secondLeast = 400 * time.Millisecond
	// peerPatience bounds a call through an entry, which itself waits for the store: a slow answer of it, and two of the three
	// entries that are tried may not answer.
	peerPatience = 450 * time.Millisecond
	// avoidFor is how long the store is not asked first after it was found to be away from this process.
	avoidFor = time.Second
	// pause lies between two rounds of attempts, and limitedFirst to limitedLast more where the store refuses calls for their rate.
	pause        = 60 * time.Millisecond
	limitedFirst = 60 * time.Millisecond
	// limitedPause bounds the pause before an entry is asked in place of a store that refused a call for its rate.
	limitedPause = 30 * time.Millisecond
	limitedLast  = 500 * time.Millisecond
	// patience bounds all attempts at one call: two slow answers of the store, and the caller is told when to return.
	patience = 1500 * time.Millisecond
	// downFor is how long calls are refused at once after no way to the store gave an answer; then one call tries.
	downFor = 400 * time.Millisecond
)

// Store reaches the store directly or through an entry.
type Store struct {
	direct   kv.Store
	health   *kv.Health
	pool     *Pool
	patience *wait.Timeout

	mu sync.Mutex
	// asked is when the store itself was last asked.
	asked time.Time
	// away is until when the store is taken to answer nobody, as the lead and this process found at a time; serving is ended by
	// end when that begins.
	away    time.Time
	found   time.Time
	serving context.Context
	end     context.CancelFunc
	// down is when no way to the store gave an answer last, zero once one did; trying says that a call finds out.
	down   time.Time
	trying bool
}

// New returns a store over the direct one, of which health is known, and the entries of a pool.
func New(direct kv.Store, health *kv.Health, pool *Pool) *Store {
	s := &Store{direct: direct, health: health, pool: pool, patience: wait.NewTimeout(directLeast, directMost)}
	s.serving, s.end = context.WithCancel(context.Background())
	return s
}

// attempt is one way to the store.
type attempt func(ctx context.Context) error

// Get returns the item of a key as of now.
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

// Commit makes a change that is safe to repeat: each of its keys stands under a condition.
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

// try goes through the ways to the store until one gives an answer or ctx ends.
//
// The error is of kind OutcomeUnknown if any attempt may have been done.
func (s *Store) try(ctx context.Context, direct attempt, peer func(*rpc.Peer) attempt) error {
	if !s.enter() {
		return fault.New(fault.Unavailable, "the store did not answer a moment ago, nothing was sent to it")
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	defer s.onAway(cancel)()
	var doubt error
	slower := wait.NewBackoff(limitedFirst, limitedLast, rand.Float64)
	for {
		err := s.round(ctx, direct, peer, &doubt)
		limited := s.limited(err)
		s.leave(settled(err) || limited)
		if settled(err) {
			return err
		}
		wait.For(ctx, pause)
		if limited {
			wait.For(ctx, slower.Next())
		}
		if ctx.Err() == nil {
			continue
		}
		switch {
		case doubt != nil:
			return doubt
		case fault.Is(err, fault.Overloaded):
			return fault.Wrap(err, fault.Overloaded, "the store takes no more calls at the moment")
		}
		return fault.Wrap(err, fault.Unavailable, "the store cannot be reached")
	}
}

// limited reports whether the store refused a call for the rate of all processes, so that it is not away.
func (s *Store) limited(err error) bool { return fault.Is(err, fault.Overloaded) && s.health.Limited() }

// round tries each way once, and notes in doubt whether any of them may have done the call.
func (s *Store) round(ctx context.Context, direct attempt, peer func(*rpc.Peer) attempt, doubt *error) error {
	last := error(fault.New(fault.Unavailable, "no entry can be reached"))
	note := func(err error) bool {
		if unanswered(err) {
			*doubt = fault.Wrap(err, fault.OutcomeUnknown, "the store's answer was lost")
		}
		last = err
		return settled(err)
	}
	avoided := s.avoided()
	if !avoided && note(s.straight(ctx, direct)) {
		return last
	}
	most, limited := mostPeers, s.limited(last)
	if limited {
		// The store may turn only this process away. If it refuses all for their rate, each further entry would add to that.
		most = 1
		wait.For(ctx, time.Duration(rand.Float64()*float64(limitedPause)))
	}
	if ctx.Err() != nil {
		return last
	}
	for _, p := range s.pool.Peers(ctx, most) {
		bounded, cancel := context.WithTimeout(ctx, peerPatience)
		err := peer(p)(bounded)
		cancel()
		if unanswered(err) {
			// The connection may have gone silent; the next call makes a new one.
			p.Close()
		}
		if note(err) {
			if limited {
				s.health.MarkRejected()
			}
			return last
		}
		if ctx.Err() != nil {
			return last
		}
	}
	if avoided {
		note(s.straight(ctx, direct))
	}
	return last
}

// straight asks the store itself; without an answer once more, by a new connection and with more patience.
func (s *Store) straight(ctx context.Context, direct attempt) error {
	patience := s.patience.First()
	err := s.once(ctx, direct, patience)
	if !unanswered(err) {
		return err
	}
	again := s.once(ctx, direct, max(s.patience.Extend(patience), secondLeast))
	if settled(again) || unanswered(again) {
		return again
	}
	return err
}

// avoided reports whether the store is to be asked last: it did not answer this process, which asked it a moment ago.
func (s *Store) avoided() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.Down() && time.Since(s.asked) < avoidFor
}

// once makes one attempt with a patience.
func (s *Store) once(ctx context.Context, direct attempt, patience time.Duration) error {
	bounded, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	asked := time.Now()
	s.mu.Lock()
	s.asked = asked
	s.mu.Unlock()
	err := direct(bounded)
	if settled(err) {
		s.patience.Observe(time.Since(asked))
	}
	return err
}

// unanswered reports whether a call got no answer, so that it may have been done.
func unanswered(err error) bool {
	return fault.Is(err, fault.OutcomeUnknown) || fault.Is(err, fault.DeadlineExceeded)
}

// settled reports whether an answer came that no other way would change.
func settled(err error) bool {
	kinds := []fault.Kind{fault.Conflict, fault.NotFound, fault.BadInput, fault.TooLarge}
	return err == nil || slices.Contains(kinds, fault.KindOf(err))
}
