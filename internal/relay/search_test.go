package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// silent is the delay of an entry that never connects.
const silent = time.Hour

// fakeEntry is an entry that accepts a connection after a delay, or refuses it.
type fakeEntry struct {
	delay   time.Duration
	refuses bool
	conns   chan net.Conn
	server  *rpc.Server
}

// Accept implements net.Listener.
func (e *fakeEntry) Accept() (net.Conn, error) {
	if conn, open := <-e.conns; open {
		return conn, nil
	}
	return nil, io.EOF
}

// Close implements net.Listener.
func (e *fakeEntry) Close() error {
	close(e.conns)
	return nil
}

// Addr implements net.Listener.
func (*fakeEntry) Addr() net.Addr { return &net.IPAddr{} }

// fakeNetwork connects a pool to entries and records the order of the dials.
type fakeNetwork struct {
	entries map[string]*fakeEntry

	mu    sync.Mutex
	dials []string
}

// dial implements rpc.Dialer.
func (n *fakeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials = append(n.dials, address)
	n.mu.Unlock()
	e := n.entries[address]
	if e.refuses {
		return nil, syscall.ECONNREFUSED
	}
	select {
	case <-time.After(e.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	local, remote := net.Pipe()
	e.conns <- remote
	return local, nil
}

// dialed returns the addresses dialed so far.
func (n *fakeNetwork) dialed() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// runSearch runs a test in a bubble with a pool whose rotation is a, b, c, d, and checks that no goroutine remains once the pool is closed.
func runSearch(t *testing.T, entries map[string]*fakeEntry, test func(t *testing.T, p *Pool, n *fakeNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		before := goleak.IgnoreCurrent()
		n := &fakeNetwork{entries: entries}
		for _, e := range entries {
			e.conns = make(chan net.Conn)
			e.server = rpc.Serve(e, secret, rpc.NewMux(timeline.NewClock(time.Now)), rpc.ProcessLimits())
		}
		p := pool("a", "b", "c", "d")
		p.SetDialer(n.dial)
		p.next = 0
		test(t, p, n)
		time.Sleep(dialTimeout)
		synctest.Wait()
		for _, peer := range p.peers {
			peer.Close()
		}
		for address, e := range entries {
			synctest.Wait()
			assert.Equal(t, e.server.Peers(), 0, "connections to %s are open that the pool does not hold", address)
			e.server.Close()
		}
		assert.NilError(t, goleak.Find(before))
	})
}

// callee returns a call that succeeds, and the addresses of the pool whose connections were called.
func callee(p *Pool, addresses *[]string) func(*rpc.Peer) error {
	return func(peer *rpc.Peer) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		for address, known := range p.peers {
			if known == peer {
				*addresses = append(*addresses, address)
			}
		}
		return nil
	}
}

// TestSilentEntryDelaysTheSearchByItsHeadStart guards against agents that wait for the dial timeout of each entry that is not up yet.
func TestSilentEntryDelaysTheSearchByItsHeadStart(t *testing.T) {
	entries := map[string]*fakeEntry{"a": {delay: silent}, "b": {}, "c": {}, "d": {}}
	runSearch(t, entries, func(t *testing.T, p *Pool, n *fakeNetwork) {
		var called []string
		start := time.Now()
		assert.NilError(t, p.Try(t.Context(), maxPeers, callee(p, &called)))
		assert.Equal(t, time.Since(start), headStart)
		assert.NilError(t, p.Try(t.Context(), maxPeers, callee(p, &called)))
		assert.Equal(t, time.Since(start), headStart, "the entry that succeeded is called first")
		assert.DeepEqual(t, called, []string{"b", "b"})
		assert.DeepEqual(t, n.dialed(), []string{"a", "b"})
	})
}

// TestSearchEndsOneDialTimeoutAfterTheLastDial guards against the dial timeouts of silent entries that add up, and against a search of more
// entries than the caller allows.
func TestSearchEndsOneDialTimeoutAfterTheLastDial(t *testing.T) {
	entries := map[string]*fakeEntry{"a": {delay: silent}, "b": {delay: silent}, "c": {delay: silent}, "d": {}}
	runSearch(t, entries, func(t *testing.T, p *Pool, n *fakeNetwork) {
		start := time.Now()
		err := p.Try(t.Context(), maxPeers, func(*rpc.Peer) error { return nil })
		assert.Assert(t, fault.Is(err, fault.Unavailable) && errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.Equal(t, time.Since(start), 2*headStart+dialTimeout)
		assert.DeepEqual(t, n.dialed(), []string{"a", "b", "c"})
		assert.NilError(t, p.Try(t.Context(), maxPeers, func(*rpc.Peer) error { return nil }))
		assert.DeepEqual(t, n.dialed(), []string{"a", "b", "c", "d"})
	})
}

// TestRefusedConnectionMovesOnAtOnce guards against a head start for an entry that is known not to be up.
func TestRefusedConnectionMovesOnAtOnce(t *testing.T) {
	entries := map[string]*fakeEntry{"a": {refuses: true}, "b": {refuses: true}, "c": {}, "d": {}}
	runSearch(t, entries, func(t *testing.T, p *Pool, _ *fakeNetwork) {
		var called []string
		start := time.Now()
		assert.NilError(t, p.Try(t.Context(), maxPeers, callee(p, &called)))
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.DeepEqual(t, called, []string{"c"})
	})
}

// TestFailedCallMovesOnAtOnce guards against a search that waits for a silent entry after a failed call, or that ends with it.
func TestFailedCallMovesOnAtOnce(t *testing.T) {
	entries := map[string]*fakeEntry{"a": {delay: silent}, "b": {}, "c": {}, "d": {}}
	runSearch(t, entries, func(t *testing.T, p *Pool, n *fakeNetwork) {
		refused := fault.New(fault.Unavailable, "no leader is known")
		start, calls := time.Now(), 0
		err := p.Try(t.Context(), maxPeers, func(*rpc.Peer) error {
			if calls++; calls == 1 {
				return refused
			}
			return nil
		})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), headStart)
		assert.DeepEqual(t, n.dialed(), []string{"a", "b", "c"})
	})
}

// TestLateConnectionIsCalledIfAllOthersFail guards against a search that gives up an entry because a later one was dialed.
func TestLateConnectionIsCalledIfAllOthersFail(t *testing.T) {
	const late = 200 * time.Millisecond
	entries := map[string]*fakeEntry{"a": {delay: late}, "b": {refuses: true}, "c": {refuses: true}, "d": {}}
	runSearch(t, entries, func(t *testing.T, p *Pool, _ *fakeNetwork) {
		var called []string
		start := time.Now()
		assert.NilError(t, p.Try(t.Context(), maxPeers, callee(p, &called)))
		assert.Equal(t, time.Since(start), late)
		assert.DeepEqual(t, called, []string{"a"})
	})
}

// TestLateConnectionRemainsInThePool guards against unused connections that are closed, or that are open but unknown to the pool.
func TestLateConnectionRemainsInThePool(t *testing.T) {
	const late = 200 * time.Millisecond
	entries := map[string]*fakeEntry{"a": {delay: late}, "b": {}, "c": {}, "d": {}}
	runSearch(t, entries, func(t *testing.T, p *Pool, n *fakeNetwork) {
		var called []string
		assert.NilError(t, p.Try(t.Context(), maxPeers, callee(p, &called)))
		time.Sleep(late)
		peer, err := p.Peer(t.Context(), "a")
		assert.NilError(t, err)
		assert.Assert(t, isOpen(peer))
		assert.DeepEqual(t, n.dialed(), []string{"a", "b"})
		assert.NilError(t, p.Try(t.Context(), maxPeers, callee(p, &called)))
		assert.DeepEqual(t, called, []string{"b", "b"})
	})
}

// TestEndOfTheContextEndsTheSearch guards against a process that waits for dials, or leaves them behind, when it ends.
func TestEndOfTheContextEndsTheSearch(t *testing.T) {
	entries := map[string]*fakeEntry{"a": {delay: silent}, "b": {delay: silent}, "c": {delay: silent}, "d": {}}
	runSearch(t, entries, func(t *testing.T, p *Pool, _ *fakeNetwork) {
		before := goleak.IgnoreCurrent()
		const end = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), end)
		defer cancel()
		start := time.Now()
		err := p.Try(ctx, maxPeers, func(*rpc.Peer) error { return nil })
		assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
		assert.Equal(t, time.Since(start), end)
		synctest.Wait()
		assert.NilError(t, goleak.Find(before))
		assert.Equal(t, time.Since(start), end, "the dials have ended with the context")
	})
}

// TestSimultaneousDialsShareOneConnection guards against a connection that is closed under the caller that got it first, and against one
// that remains open although the pool does not hold it.
func TestSimultaneousDialsShareOneConnection(t *testing.T) {
	const delay = 10 * time.Millisecond
	entries := map[string]*fakeEntry{"a": {delay: delay}, "b": {}, "c": {}, "d": {}}
	runSearch(t, entries, func(t *testing.T, p *Pool, n *fakeNetwork) {
		peers := make(chan *rpc.Peer, 2)
		dial := func() {
			peer, err := p.Peer(t.Context(), "a")
			assert.Check(t, err)
			peers <- peer
		}
		go dial()
		time.Sleep(delay / 2)
		go dial()
		first, second := <-peers, <-peers
		synctest.Wait()
		assert.Assert(t, isOpen(first) && first == second)
		assert.Equal(t, entries["a"].server.Peers(), 1)
		assert.DeepEqual(t, n.dialed(), []string{"a", "a"})
	})
}
