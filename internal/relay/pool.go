package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// dialTimeout bounds connecting to an entry.
const dialTimeout = 300 * time.Millisecond

// Pool holds the addresses of the entries and open connections to them.
type Pool struct {
	self   string
	secret string
	mux    *rpc.Mux
	dial   rpc.Dialer

	mu        sync.Mutex
	addresses []string
	peers     map[string]*rpc.Peer
	next      int
}

// NewPool returns a pool with initial addresses, which may be stale; self is excluded.
func NewPool(self, secret string, mux *rpc.Mux, addresses []string) *Pool {
	p := &Pool{
		self: self, secret: secret, mux: mux, dial: httpclient.Dial, peers: make(map[string]*rpc.Peer),
		// Processes with the same addresses do not all start with the first one.
		next: rand.IntN(math.MaxInt16), //nolint:gosec // not a secret
	}
	p.Add(addresses)
	return p
}

// SetDialer sets the dialer; it must be called before the first connection.
func (p *Pool) SetDialer(dial rpc.Dialer) { p.dial = dial }

// maxAddresses bounds the list; the oldest addresses are removed first.
const maxAddresses = 64

// Add adds addresses of entries.
func (p *Pool) Add(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		if a != "" && a != p.self && !slices.Contains(p.addresses, a) {
			p.addresses = append(p.addresses, a)
		}
	}
	if extra := len(p.addresses) - maxAddresses; extra > 0 {
		p.addresses = slices.Delete(p.addresses, 0, extra)
	}
}

// maxPeers is how many entries are tried in one round.
const maxPeers = 3

// Peers returns open connections to at most maxEntries entries, starting with another entry each time.
func (p *Pool) Peers(ctx context.Context, maxEntries int) []*rpc.Peer {
	p.mu.Lock()
	addresses := slices.Clone(p.addresses)
	p.next++
	next := p.next
	p.mu.Unlock()
	var peers []*rpc.Peer
	for i := range addresses {
		peer, err := p.Peer(ctx, addresses[(next+i)%len(addresses)])
		if err == nil {
			peers = append(peers, peer)
		}
		if len(peers) == maxEntries || ctx.Err() != nil {
			break
		}
	}
	return peers
}

// rotation returns the addresses in the order in which they are tried.
func (p *Pool) rotation() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addresses) == 0 {
		return nil
	}
	next := p.next % len(p.addresses)
	return slices.Concat(p.addresses[next:], p.addresses[:next])
}

// skip moves on to the next address if the given one is the first in the rotation.
func (p *Pool) skip(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.addresses); n > 0 && p.addresses[p.next%n] == address {
		p.next++
	}
}

// Peer returns an open connection to an address.
func (p *Pool) Peer(ctx context.Context, address string) (*rpc.Peer, error) {
	p.mu.Lock()
	peer, known := p.peers[address]
	p.mu.Unlock()
	if known && isOpen(peer) {
		return peer, nil
	}
	peer, err := p.Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.keep(address, peer), nil
}

// Connect opens a connection that is not shared; the caller closes it.
func (p *Pool) Connect(ctx context.Context, address string) (*rpc.Peer, error) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return rpc.DialWith(bounded, p.dial, address, p.secret, p.mux)
}

// keep adds a new connection to the pool and returns it. If another caller has connected meanwhile, it closes the new one and returns
// that of the other caller, which may be in use.
func (p *Pool) keep(address string, peer *rpc.Peer) *rpc.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earlier, raced := p.peers[address]; raced && isOpen(earlier) {
		peer.Close()
		return earlier
	}
	p.peers[address] = peer
	return peer
}

// isOpen reports whether a connection has not ended.
func isOpen(peer *rpc.Peer) bool {
	select {
	case <-peer.Done():
		return false
	default:
		return true
	}
}

// discard closes a connection whose peer did not answer. A later connection to the address remains in the pool.
func (p *Pool) discard(address string, peer *rpc.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer.Close()
	if p.peers[address] == peer {
		delete(p.peers, address)
	}
}

// Drop closes the connection to an address that did not answer.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, known := p.peers[address]; known {
		peer.Close()
		delete(p.peers, address)
	}
}
