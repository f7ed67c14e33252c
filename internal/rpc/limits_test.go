package rpc

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// TestConnectionOverTheLimitIsRefusedWithAReason guards against a fault seen with a large fleet: a leader took 512 connections and closed
// each further one without an answer, so that 800 agents retried several times a second and hundreds of workers stayed unused.
func TestConnectionOverTheLimitIsRefusedWithAReason(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var refused atomic.Int32
	limits := Limits{Peers: 1, RetryAfter: 3 * time.Second, OnRefused: func() { refused.Add(1) }}
	s := Serve(listener, "", NewMux(timeline.NewClock(time.Now)), limits)
	t.Cleanup(s.Close)
	first, err := dial(t, s, "")
	assert.NilError(t, err)
	_, err = dial(t, s, "")
	assert.Equal(t, fault.KindOf(err), fault.Overloaded, "%v", err)
	assert.Equal(t, fault.RetryAfter(err), 3*time.Second)
	assert.Equal(t, refused.Load(), int32(1))
	first.Close()
	awaitPeers(t, s, 0)
	_, err = dial(t, s, "")
	assert.NilError(t, err)
}

func awaitPeers(t *testing.T, s *Server, count int) {
	t.Helper()
	for s.Peers() != count {
		select {
		case <-t.Context().Done():
			t.Fatalf("got %d peers, want %d", s.Peers(), count)
		case <-time.After(time.Millisecond):
		}
	}
}

// failingListener fails to accept a few times, like a process without free file descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerAcceptsAgainOnceDescriptorsAreFree guards against a server that stops accepting after it ran out of descriptors once.
func TestServerAcceptsAgainOnceDescriptorsAreFree(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	failing := &failingListener{Listener: listener}
	failing.failures.Store(2)
	s := Serve(failing, "", NewMux(timeline.NewClock(time.Now)), ProcessLimits())
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	p, err := Dial(ctx, listener.Addr().String(), "", NewMux(timeline.NewClock(time.Now)))
	assert.NilError(t, err)
	p.Close()
}

// Sizes of a fleet of twice the largest known size.
const (
	fleetAgents  = 1600
	fleetEntries = 368
)

// TestServerServesAFleet opens a connection over loopback for each process of a fleet and logs the memory that a connection takes, which
// must fit the smallest VM of an entry.
func TestServerServesAFleet(t *testing.T) {
	const connections = fleetAgents + fleetEntries
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := NewMux(timeline.NewClock(time.Now))
	Handle(m, "echo", func(_ context.Context, _ *Peer, s text) (text, error) { return s, nil })
	var refused atomic.Int32
	s := Serve(listener, "", m, Limits{Peers: connections, OnRefused: func() { refused.Add(1) }})
	t.Cleanup(s.Close)
	before := memoryInUse()
	var group errgroup.Group
	group.SetLimit(32)
	for range connections {
		group.Go(func() error {
			p, err := Dial(t.Context(), listener.Addr().String(), "", NewMux(timeline.NewClock(time.Now)))
			if err != nil {
				return err
			}
			t.Cleanup(p.Close)
			_, err = Call[text, text](t.Context(), p, "echo", text{"hello"})
			return err
		})
	}
	assert.NilError(t, group.Wait())
	assert.Equal(t, refused.Load(), int32(0))
	awaitPeers(t, s, connections)
	// Both ends of each connection are in this process.
	const ends = 2
	t.Logf("%d connections, %d bytes an end", connections, (memoryInUse()-before)/connections/ends)
}

// memoryInUse returns the bytes of live objects and of stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
