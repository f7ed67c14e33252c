package relay

import (
	"context"
	"slices"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// headStart is how long an entry may take to connect before the next one is dialed as well. Entries that are up connect within a few
// milliseconds; one that is not up yet is silent until the dial timeout.
const headStart = 40 * time.Millisecond

// Try calls at most maxEntries entries, one at a time in the order in which they connect, until a call succeeds. It dials them in rotation,
// starting with the entry that succeeded last, and returns the error of the last failure. Dials that are pending when a call succeeds
// continue until the dial timeout or the end of ctx.
func (p *Pool) Try(ctx context.Context, maxEntries int, call func(*rpc.Peer) error) error {
	err := error(fault.New(fault.Unavailable, "no entry is known"))
	s := newSearch(p, maxEntries)
	for ctx.Err() == nil && s.hasNext() {
		var c connected
		if c, err = s.next(ctx); err != nil {
			continue
		}
		if err = call(c.peer); err == nil {
			s.skipBefore(c.address)
			return nil
		}
		if unanswered(err) {
			p.discard(c.address, c.peer)
		}
	}
	s.skipDialed()
	return err
}

// connected is the result of connecting to an entry.
type connected struct {
	address string
	peer    *rpc.Peer
	err     error
}

// search connects to entries in parallel, in the order of their addresses. Only one goroutine may use it.
type search struct {
	pool *Pool
	// addresses are the candidates; dialed counts those dialed so far, from the first on, pending the dials without a result.
	addresses       []string
	dialed, pending int
	results         chan connected
}

func newSearch(p *Pool, maxEntries int) *search {
	addresses := p.rotation()
	addresses = addresses[:min(max(maxEntries, 0), len(addresses))]
	// The buffer holds all results, so that no dial waits for a search that has ended.
	return &search{pool: p, addresses: addresses, results: make(chan connected, len(addresses))}
}

// hasNext reports whether an entry can still connect.
func (s *search) hasNext() bool { return s.pending > 0 || s.dialed < len(s.addresses) }

// next waits until an entry connects, or fails to. It is called for the first entry and after each failure, so it dials an entry at once
// unless another one has connected meanwhile.
func (s *search) next(ctx context.Context) (connected, error) {
	if len(s.results) == 0 {
		s.dial(ctx)
	}
	for {
		select {
		case c := <-s.results:
			s.pending--
			return c, c.err
		case <-s.headStart():
			s.dial(ctx)
		case <-ctx.Done():
			return connected{}, fault.Wrap(ctx.Err(), fault.Unavailable, "no entry connected")
		}
	}
}

// headStart returns a channel that receives when the next entry is due, nil if all have been dialed.
func (s *search) headStart() <-chan time.Time {
	if s.dialed == len(s.addresses) {
		return nil
	}
	return time.After(headStart)
}

// dial starts connecting to the next entry, if there is one.
func (s *search) dial(ctx context.Context) {
	if s.dialed == len(s.addresses) {
		return
	}
	address := s.addresses[s.dialed]
	s.dialed++
	s.pending++
	go func() {
		peer, err := s.pool.Peer(ctx, address)
		s.results <- connected{address: address, peer: peer, err: err}
	}()
}

// skipBefore makes the rotation start with the given entry, unless another caller has moved it.
func (s *search) skipBefore(address string) {
	s.skip(slices.Index(s.addresses, address))
}

// skipDialed makes the rotation start after the dialed entries, unless another caller has moved it.
func (s *search) skipDialed() { s.skip(s.dialed) }

func (s *search) skip(count int) {
	for _, address := range s.addresses[:count] {
		s.pool.skip(address)
	}
}
