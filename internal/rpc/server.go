package rpc

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	helloTimeout = 5 * time.Second
	maxPeers     = 512
)

var bytesMoved atomic.Int64

// BytesMoved returns the bytes read and written by all connections of the process so far.
func BytesMoved() int64 { return bytesMoved.Load() }

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

// Server accepts peers on a listener.
type Server struct {
	listener net.Listener
	secret   string
	mux      *Mux
	done     chan struct{}

	mu    sync.Mutex
	peers map[*Peer]struct{}
}

// Serve starts to accept peers on the listener.
func Serve(listener net.Listener, secret string, m *Mux) *Server {
	s := &Server{
		listener: listener, secret: secret, mux: m,
		done: make(chan struct{}), peers: make(map[*Peer]struct{}),
	}
	go s.accept()
	return s
}

// Done returns the channel that is closed when the server accepts no more.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops accepting and ends all connections.
func (s *Server) Close() {
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
		if err != nil {
			return
		}
		s.admit(stream)
	}
}

func (s *Server) admit(stream net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) >= maxPeers {
		_ = stream.Close()
		return
	}
	p := newPeer(stream, s.secret, s.mux)
	s.peers[p] = struct{}{}
	go s.watch(p)
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
