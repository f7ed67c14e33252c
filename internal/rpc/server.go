package rpc

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

const (
	helloTimeout = 5 * time.Second
	// refusalTimeout bounds how long a refused connection stays open for its peer to read why.
	refusalTimeout = time.Second
	// mostRefusals is how many connections are being refused at once; the others are closed without an answer.
	mostRefusals = 64
	// acceptPause lies between two attempts to accept a connection while the process has no descriptor left.
	acceptPause = 50 * time.Millisecond
	// leastPeers is taken where the process cannot tell how many descriptors it may open.
	leastPeers = 512
	// DefaultRetryAfter is when a refused peer may return where the limits do not say.
	DefaultRetryAfter = 2 * time.Second
)

var bytesMoved atomic.Int64

// BytesTransferred returns the bytes read and written by all connections of the process so far.
func BytesTransferred() int64 { return bytesMoved.Load() }

type countedConn struct{ net.Conn }

// Read counts what it reads.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesMoved.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	bytesMoved.Add(int64(n))
	return n, err
}

// Limits bound the connections of a server.
type Limits struct {
	// Peers is how many connections are held at once; above 0.
	Peers int
	// RetryAfter is when a refused peer may return, 0 for DefaultRetryAfter.
	RetryAfter time.Duration
	// OnRefused is called for each connection that is refused, nil for no call.
	OnRefused func()
}

// ProcessLimits returns the limits of a process that is handed none: half of the descriptors that it may open.
func ProcessLimits() Limits {
	const share = 2
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil || descriptors.Cur < share {
		return Limits{Peers: leastPeers}
	}
	return Limits{Peers: int(min(descriptors.Cur/share, math.MaxInt32))}
}

// Server accepts peers on a listener.
type Server struct {
	listener net.Listener
	secret   string
	mux      *Mux
	limits   Limits
	closing  chan struct{}
	done     chan struct{}

	closed sync.Once

	mu    sync.Mutex
	peers map[*Peer]struct{}
	// refusals counts the connections that are being refused.
	refusals int
}

// Serve starts to accept peers on the listener; those over the limit are refused as Overloaded with when to return.
func Serve(listener net.Listener, secret string, m *Mux, limits Limits) *Server {
	if limits.RetryAfter == 0 {
		limits.RetryAfter = DefaultRetryAfter
	}
	s := &Server{
		listener: listener, secret: secret, mux: m, limits: limits,
		closing: make(chan struct{}), done: make(chan struct{}), peers: make(map[*Peer]struct{}),
	}
	go s.accept()
	return s
}

// Peers returns how many connections are open.
func (s *Server) Peers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// Done returns the channel that is closed when the server accepts no more.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops accepting and ends all connections.
func (s *Server) Close() {
	s.closed.Do(func() { close(s.closing) })
	_ = s.listener.Close()
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.peers {
		p.Close()
	}
}

func (s *Server) accept() {
	defer close(s.done)
	for {
		stream, err := s.listener.Accept()
		switch {
		case err == nil:
			s.admit(stream)
		case outOfDescriptors(err):
			// A server that stopped here would never accept again, though descriptors are freed within moments.
			s.countRefusal()
			if !s.pause() {
				return
			}
		default:
			return
		}
	}
}

// pause waits a while, and reports whether the server is still open then.
func (s *Server) pause() bool {
	select {
	case <-s.closing:
		return false
	case <-time.After(acceptPause):
		return true
	}
}

func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func (s *Server) admit(stream net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) >= s.limits.Peers {
		s.refuse(stream)
		return
	}
	p := newPeer(stream, s.secret, s.mux, nil)
	s.peers[p] = struct{}{}
	go s.watch(p)
}

// refuse answers the greeting of a connection with why it is closed; s is locked.
func (s *Server) refuse(stream net.Conn) {
	s.countRefusal()
	if s.refusals >= mostRefusals {
		_ = stream.Close()
		return
	}
	s.refusals++
	full := fault.New(fault.Overloaded, "all %d connections for other processes are taken", s.limits.Peers).WithRetryAfter(s.limits.RetryAfter)
	p := newPeer(stream, s.secret, s.mux, full)
	go func() {
		timer := time.AfterFunc(refusalTimeout, p.Close)
		<-p.Done()
		timer.Stop()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refusals--
	}()
}

func (s *Server) countRefusal() {
	if s.limits.OnRefused != nil {
		s.limits.OnRefused()
	}
}

func (s *Server) watch(p *Peer) {
	timer := time.AfterFunc(helloTimeout, func() {
		if !p.trusted.Load() {
			p.Close()
		}
	})
	<-p.Done()
	timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, p)
}
