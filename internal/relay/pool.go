package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// dialPatience bounds how long a connection to an entry may take.
const dialPatience = 300 * time.Millisecond

// Pool holds the addresses of the entries and open connections to them.
type Pool struct {
	self   string
	secret string
	mux    *rpc.Mux
	dial   rpc.Dialer

	mu        sync.Mutex
	addresses []string
	peers     map[string]*rpc.Peer
	turn      int
}

// NewPool returns a pool that starts from some addresses, which may be stale; self is left out.
func NewPool(self, secret string, mux *rpc.Mux, addresses []string) *Pool {
	p := &Pool{
		self: self, secret: secret, mux: mux, dial: httpclient.Dial, peers: make(map[string]*rpc.Peer),
		// Processes that start from the same addresses do not all turn to the first one.
		turn: rand.IntN(math.MaxInt16), //nolint:gosec // not a secret
	}
	p.Add(addresses)
	return p
}

// SetDialer sets how connections are made, before the first of them.
func (p *Pool) SetDialer(dial rpc.Dialer) { p.dial = dial }

// mostAddresses bounds the list; the oldest go first.
const mostAddresses = 64

// Add adds addresses of entries.
func (p *Pool) Add(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		if a != "" && a != p.self && !slices.Contains(p.addresses, a) {
			p.addresses = append(p.addresses, a)
		}
	}
	if extra := len(p.addresses) - mostAddresses; extra > 0 {
		p.addresses = slices.Delete(p.addresses, 0, extra)
	}
}

// mostPeers is how many entries are tried in one round.
const mostPeers = 3

// Peers returns open connections to at most so many entries, another first each time.
func (p *Pool) Peers(ctx context.Context, most int) []*rpc.Peer {
	p.mu.Lock()
	addresses := slices.Clone(p.addresses)
	p.turn++
	turn := p.turn
	p.mu.Unlock()
	var found []*rpc.Peer
	for i := range addresses {
		peer, err := p.Peer(ctx, addresses[(turn+i)%len(addresses)])
		if err == nil {
			found = append(found, peer)
		}
		if len(found) == most || ctx.Err() != nil {
			break
		}
	}
	return found
}

// Try calls entries one after the other until a call succeeds, at most so many, and begins with the one that succeeded last. The error is that of
// the last call.
func (p *Pool) Try(ctx context.Context, most int, call func(*rpc.Peer) error) error {
	err := error(fault.New(fault.Unavailable, "no entry is known"))
	for _, address := range p.inTurn() {
		if most == 0 || ctx.Err() != nil {
			break
		}
		most--
		var peer *rpc.Peer
		if peer, err = p.Peer(ctx, address); err == nil {
			err = call(peer)
		}
		if err == nil {
			return nil
		}
		if peer == nil || unanswered(err) {
			p.Drop(address)
		}
		p.pass(address)
	}
	return err
}

// inTurn returns the addresses from the one whose turn it is on.
func (p *Pool) inTurn() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addresses) == 0 {
		return nil
	}
	turn := p.turn % len(p.addresses)
	return slices.Concat(p.addresses[turn:], p.addresses[:turn])
}

// pass gives the turn of an address to the next.
func (p *Pool) pass(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.addresses); n > 0 && p.addresses[p.turn%n] == address {
		p.turn++
	}
}

// Peer returns a connection to an address.
func (p *Pool) Peer(ctx context.Context, address string) (*rpc.Peer, error) {
	p.mu.Lock()
	peer, known := p.peers[address]
	p.mu.Unlock()
	if known {
		select {
		case <-peer.Done():
		default:
			return peer, nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, dialPatience)
	defer cancel()
	peer, err := rpc.DialWith(bounded, p.dial, address, p.secret, p.mux)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if earlier, raced := p.peers[address]; raced {
		defer earlier.Close()
	}
	p.peers[address] = peer
	return peer, nil
}

// Drop closes the connection to an address, which did not answer.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, known := p.peers[address]; known {
		peer.Close()
		delete(p.peers, address)
	}
}
