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

// Try calls at most maxEntries entries one after the other until a call succeeds, starting with the entry that succeeded last. It
// returns the error of the last call.
func (p *Pool) Try(ctx context.Context, maxEntries int, call func(*rpc.Peer) error) error {
	err := error(fault.New(fault.Unavailable, "no entry is known"))
	for _, address := range p.rotation() {
		if maxEntries == 0 || ctx.Err() != nil {
			break
		}
		maxEntries--
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
		p.skip(address)
	}
	return err
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
	if known {
		select {
		case <-peer.Done():
		default:
			return peer, nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
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

// Drop closes the connection to an address that did not answer.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, known := p.peers[address]; known {
		peer.Close()
		delete(p.peers, address)
	}
}
