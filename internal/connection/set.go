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
	// silenceFactor times the duration of the latest call is how long a connection must have been silent to be closed: when the
	// address has become slow for all calls, nothing is gained by sending them again.
	silenceFactor = 4
	// minSilence is the lower bound of that time.
	minSilence = 100 * time.Millisecond
)

// Set is the set of all open connections to one address.
type Set struct {
	address string
	logger  logging.Logger
	// transferTimeout is how much longer than its timeout a call may take while its answer arrives.
	transferTimeout time.Duration

	createdAt time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	clients []*fasthttp.HostClient
	open    map[*trackedConn]struct{}
	// unansweredAt is when a call last got no answer, zero once no connection that was waiting then is left.
	unansweredAt time.Time
}

// NewSet returns an empty set for an address of the form host:port.
func NewSet(address string, logger logging.Logger) *Set {
	return &Set{address: address, logger: logger, createdAt: time.Now(), open: make(map[*trackedConn]struct{})}
}

// WithTransferTimeout lets calls take longer than their timeouts, by a limit, while bytes of their answers arrive, and returns the set. It
// must be called before the first connection.
func (s *Set) WithTransferTimeout(limit time.Duration) *Set {
	s.transferTimeout = limit
	return s
}

// Client returns a client with its own pool, whose connections belong to the set.
func (s *Set) Client(timeout time.Duration) *fasthttp.HostClient {
	client := httpclient.New(s.address, timeout)
	client.Dial = nil
	client.DialTimeout = s.dial
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients = append(s.clients, client)
	return client
}

// dial connects within a timeout, 0 for the default.
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
	c := &trackedConn{Conn: stream, set: s, openedAt: time.Now()}
	c.recordActivity(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c, nil
}

// RecordNoAnswer records that a call got no answer, and closes idle connections, which may be just as unresponsive.
func (s *Set) RecordNoAnswer() {
	s.mu.Lock()
	s.unansweredAt = time.Now()
	clients := s.clients
	s.mu.Unlock()
	for _, c := range clients {
		c.CloseIdleConnections()
	}
}

// RecordAnswer records an answer to a call sent at a given time. The answer proves that the address can be reached, so connections that
// have been silent since before the latest unanswered call are closed; the calls waiting on them fail and can be repeated.
func (s *Set) RecordAnswer(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unansweredAt.IsZero() {
		return
	}
	now := time.Now()
	silenceLimit := max(silenceFactor*now.Sub(sentAt), minSilence)
	pending := false
	for c := range s.open {
		lastActiveAt := s.createdAt.Add(time.Duration(c.lastActive.Load()))
		switch {
		case !lastActiveAt.Before(s.unansweredAt):
		case now.Sub(lastActiveAt) < silenceLimit:
			pending = true
		default:
			s.logger.Warn("unresponsive connection closed; address=%s age_ms=%d quiet_ms=%d",
				s.address, now.Sub(c.openedAt).Milliseconds(), now.Sub(lastActiveAt).Milliseconds())
			delete(s.open, c)
			_ = c.Conn.Close()
		}
	}
	if !pending {
		s.unansweredAt = time.Time{}
	}
}

// remove removes a connection from the set.
func (s *Set) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}
