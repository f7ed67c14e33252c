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
	// refusalTimeout bounds how long a refused connection stays open for its peer to read the reason.
	refusalTimeout = time.Second
	// maxRefusals is how many connections may be in refusal at once; further ones are closed without an answer.
	maxRefusals = 64
	// acceptRetryDelay is the delay between attempts to accept a connection while the process has no free file descriptor.
	acceptRetryDelay = 50 * time.Millisecond
	// fallbackPeers is the limit if the number of descriptors that the process may open is unknown.
	fallbackPeers = 512
	// DefaultRetryAfter is the default delay after which a refused peer may reconnect.
	DefaultRetryAfter = 2 * time.Second
)

var bytesTransferred atomic.Int64

// BytesTransferred returns the bytes read and written by all connections of the process.
func BytesTransferred() int64 { return bytesTransferred.Load() }

type countedConn struct{ net.Conn }

// Read implements net.Conn and counts the bytes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesTransferred.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the bytes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	bytesTransferred.Add(int64(n))
	return n, err
}

// Limits bounds the connections of a server.
type Limits struct {
	// Peers is the maximum number of open connections; above 0.
	Peers int
	// RetryAfter is the delay after which a refused peer may reconnect, 0 for DefaultRetryAfter.
	RetryAfter time.Duration
	// OnRefused, if set, is called for each refused connection.
	OnRefused func()
}

// ProcessLimits returns the limits for a process without configured ones: half of the descriptors that it may open.
func ProcessLimits() Limits {
	const divisor = 2
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil || descriptors.Cur < divisor {
		return Limits{Peers: fallbackPeers}
	}
	return Limits{Peers: int(min(descriptors.Cur/divisor, math.MaxInt32))}
}

// Server accepts connections of peers on a listener.
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
	// refusals is the number of connections that are being refused.
	refusals int
}

// Serve starts accepting peers on the listener; those above the limit are refused as Overloaded with a retry delay.
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

// Peers returns the number of open connections.
func (s *Server) Peers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers)
}

// Done returns the channel that is closed when the server has stopped accepting.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops accepting and closes all connections.
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
			// Descriptors are usually freed soon; a server that returned here would never accept again.
			s.countRefusal()
			if !s.waitToRetry() {
				return
			}
		default:
			return
		}
	}
}

// waitToRetry waits for the retry delay and reports whether the server is still open afterwards.
func (s *Server) waitToRetry() bool {
	select {
	case <-s.closing:
		return false
	case <-time.After(acceptRetryDelay):
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
	go s.monitor(p)
}

// refuse answers the hello message of a connection with the reason why it is closed; s.mu is held.
func (s *Server) refuse(stream net.Conn) {
	s.countRefusal()
	if s.refusals >= maxRefusals {
		_ = stream.Close()
		return
	}
	s.refusals++
	overloaded := fault.New(fault.Overloaded, "all %d connections for other processes are in use", s.limits.Peers).WithRetryAfter(s.limits.RetryAfter)
	p := newPeer(stream, s.secret, s.mux, overloaded)
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

func (s *Server) monitor(p *Peer) {
	timer := time.AfterFunc(helloTimeout, func() {
		if !p.authenticated.Load() {
			p.Close()
		}
	})
	<-p.Done()
	timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, p)
}
