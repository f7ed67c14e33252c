package connection

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/logging"
)

// stallingListener is a listener whose accepted connections can be made to drop all writes without a reset, while new ones work.
type stallingListener struct {
	net.Listener

	mu       sync.Mutex
	accepted []*stallableConn
}

type stallableConn struct {
	net.Conn
	stalled atomic.Bool
}

// Write discards the bytes once the connection is stalled.
func (m *stallableConn) Write(b []byte) (int, error) {
	if m.stalled.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// Accept records the connections that it returns.
func (s *stallingListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &stallableConn{Conn: c}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, m)
	return m, nil
}

// stallAll stalls all connections accepted so far.
func (s *stallingListener) stallAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.accepted {
		m.stalled.Store(true)
	}
}

// serve answers each request at once, except requests for /watch, which it answers at the end of the test.
func serve(t *testing.T) (*stallingListener, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &stallingListener{Listener: listener}
	ended := make(chan struct{})
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/watch" {
			<-ended
		}
	}}
	go func() { _ = server.Serve(s) }()
	t.Cleanup(func() {
		close(ended)
		_ = listener.Close()
	})
	return s, listener.Addr().String()
}

// send sends a request with a timeout and records the result in the set, as the callers of a set do.
func send(s *Set, client *fasthttp.HostClient, path string, timeout time.Duration) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + client.Addr + path)
	request.SetTimeout(timeout)
	sentAt := time.Now()
	if err := client.Do(request, response); err != nil {
		s.RecordNoAnswer()
		return err
	}
	s.RecordAnswer(sentAt)
	return nil
}

const (
	shortTimeout = 150 * time.Millisecond
	// promptly bounds operations that must not wait for their own timeout.
	promptly = 2 * time.Second
	// longTimeout is a timeout that must not be reached in a test.
	longTimeout = 20 * time.Second
)

// TestUnresponsiveAddressCostsOneTimeout guards against each idle connection of a pool costing a timeout of its own.
func TestUnresponsiveAddressCostsOneTimeout(t *testing.T) {
	listener, address := serve(t)
	set := NewSet(address, logging.Discard())
	client := set.Client(longTimeout)
	const idle = 5
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() { _ = send(set, client, "/watch", shortTimeout) })
	}
	calls.Wait()
	for range idle {
		calls.Go(func() { assert.Check(t, send(set, client, "/", longTimeout)) })
	}
	calls.Wait()
	listener.stallAll()
	assert.ErrorContains(t, send(set, client, "/", shortTimeout), "timeout")
	assert.NilError(t, send(set, client, "/", shortTimeout))
	assert.NilError(t, send(set, client, "/", shortTimeout))
}

// TestAnswerClosesUnresponsiveConnections guards against a watch on an unresponsive connection waiting for its own timeout although calls
// on new connections are answered.
func TestAnswerClosesUnresponsiveConnections(t *testing.T) {
	listener, address := serve(t)
	set := NewSet(address, logging.Discard())
	calls, watches := set.Client(longTimeout), set.Client(longTimeout)
	assert.NilError(t, send(set, calls, "/", longTimeout))
	ended := make(chan error, 1)
	go func() { ended <- send(set, watches, "/watch", longTimeout) }()
	for listener.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	listener.stallAll()
	assert.ErrorContains(t, send(set, calls, "/", shortTimeout), "timeout")
	assert.NilError(t, send(set, calls, "/", longTimeout))
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(promptly):
		t.Fatal("the watch is still waiting")
	}
}

// TestWatchContinuesWhileCallsAreAnswered checks that an answer closes no connection that is merely waiting.
func TestWatchContinuesWhileCallsAreAnswered(t *testing.T) {
	_, address := serve(t)
	set := NewSet(address, logging.Discard())
	calls, watches := set.Client(longTimeout), set.Client(longTimeout)
	ended := make(chan error, 1)
	go func() { ended <- send(set, watches, "/watch", longTimeout) }()
	for start := time.Now(); time.Since(start) < 2*minSilence; {
		assert.NilError(t, send(set, calls, "/", longTimeout))
	}
	select {
	case err := <-ended:
		t.Fatalf("the watch was ended: %v", err)
	default:
	}
}

// count returns how many connections were accepted.
func (s *stallingListener) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}
