package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/rpc"
)

// dialPatience bounds how long a connection to an entry may take.
const dialPatience = 300 * time.Millisecond

// Pool holds the addresses of the entries and open connections to them.
type Pool struct {
	self   string
	secret string
	mux    *rpc.Mux

	mu        sync.Mutex
	addresses []string
	peers     map[string]*rpc.Peer
	turn      int
}

// NewPool returns a pool that starts from some addresses, which may be stale; self is left out.
func NewPool(self, secret string, mux *rpc.Mux, addresses []string) *Pool {
	p := &Pool{self: self, secret: secret, mux: mux, peers: make(map[string]*rpc.Peer)}
	p.Learn(addresses)
	return p
}

// mostAddresses bounds the list; the oldest go first.
const mostAddresses = 64

// Learn adds addresses of entries.
func (p *Pool) Learn(addresses []string) {
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

// Peers returns open connections to some entries, another first each time.
func (p *Pool) Peers(ctx context.Context) []*rpc.Peer {
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
		if len(found) == mostPeers || ctx.Err() != nil {
			break
		}
	}
	return found
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
	peer, err := rpc.Dial(bounded, address, p.secret, p.mux)
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
