package connection

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/logging"
)

const (
	// hangFactor times what the newest answer took is how long a connection must have been quiet to be held for silent: an
	// address that has become slow for all is not a reason to ask anew.
	hangFactor = 4
	// leastQuiet bounds that from below, in time.
	leastQuiet = 100 * time.Millisecond
)

// Set is all open connections to one address.
type Set struct {
	address string
	logger  logging.Logger

	began time.Time

	// mu guards all below.
	mu      sync.Mutex
	clients []*fasthttp.HostClient
	open    map[*tracked]struct{}
	// silent is when a call last got no answer, zero once nothing is left that was waiting then.
	silent time.Time
}

// NewSet returns the set of an address host:port, without connections.
func NewSet(address string, logger logging.Logger) *Set {
	return &Set{address: address, logger: logger, began: time.Now(), open: make(map[*tracked]struct{})}
}

// Client returns a client with a pool of its own, whose connections belong to the set.
func (s *Set) Client(timeout time.Duration) *fasthttp.HostClient {
	client := httpclient.New(s.address, timeout)
	client.Dial = nil
	client.DialTimeout = s.dial
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients = append(s.clients, client)
	return client
}

// dial connects within a time, 0 for the usual one.
func (s *Set) dial(address string, timeout time.Duration) (net.Conn, error) {
	ctx := context.Background()
	if timeout > 0 {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = bounded
	}
	stream, err := httpclient.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &tracked{Conn: stream, set: s, opened: time.Now()}
	c.note(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c, nil
}

// RecordNoAnswer takes note that a call got no answer: the connections that idle may be as silent as the one that it went by.
func (s *Set) RecordNoAnswer() {
	s.mu.Lock()
	s.silent = time.Now()
	clients := s.clients
	s.mu.Unlock()
	for _, c := range clients {
		c.CloseIdleConnections()
	}
}

// RecordAnswer takes note of an answer to a call that was made at a time. It proves the way, so calls that were waiting on other
// connections when it was last found silent are ended, and can be made again.
func (s *Set) RecordAnswer(asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent.IsZero() {
		return
	}
	now := time.Now()
	quiet := max(hangFactor*now.Sub(asked), leastQuiet)
	waits := false
	for c := range s.open {
		last := s.began.Add(time.Duration(c.active.Load()))
		switch {
		case !last.Before(s.silent):
		case now.Sub(last) < quiet:
			waits = true
		default:
			s.logger.Warn("connection went silent and is closed; address=%s age_ms=%d quiet_ms=%d",
				s.address, now.Sub(c.opened).Milliseconds(), now.Sub(last).Milliseconds())
			delete(s.open, c)
			_ = c.Conn.Close()
		}
	}
	if !waits {
		s.silent = time.Time{}
	}
}

// forget takes a connection out of the set.
func (s *Set) forget(c *tracked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}
