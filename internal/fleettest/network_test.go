package fleettest

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
)

// network connects processes by their addresses; a dial to an address without a listener is refused.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// dials counts the dials by address.
	dials map[string]int
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*listener), dials: make(map[string]int)}
}

func (n *network) listen(address string) *listener {
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dial implements rpc.Dialer.
func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials[address]++
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	local, remote := net.Pipe()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialCount returns how often an address has been dialed.
func (n *network) dialCount(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// listener accepts the connections to one address until it is closed.
type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (*listener) Addr() net.Addr { return &net.IPAddr{} }
