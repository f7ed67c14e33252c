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

// silencer is a listener whose connections can go silent for good, without a reset, while new ones work.
type silencer struct {
	net.Listener

	mu       sync.Mutex
	accepted []*mutable
}

type mutable struct {
	net.Conn
	silent atomic.Bool
}

// Write swallows what is written once the connection is silent.
func (m *mutable) Write(b []byte) (int, error) {
	if m.silent.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

// Accept keeps the connections that it returns.
func (s *silencer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	m := &mutable{Conn: c}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, m)
	return m, nil
}

// silence makes all connections that stand silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.accepted {
		m.silent.Store(true)
	}
}

// serve answers each request at once, but those for /watch only when the test ends.
func serve(t *testing.T) (*silencer, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &silencer{Listener: listener}
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

// ask sends a request with a patience, as the callers of a set do.
func ask(s *Set, client *fasthttp.HostClient, path string, patience time.Duration) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + client.Addr + path)
	request.SetTimeout(patience)
	asked := time.Now()
	if err := client.Do(request, response); err != nil {
		s.RecordNoAnswer()
		return err
	}
	s.RecordAnswer(asked)
	return nil
}

const (
	patience = 150 * time.Millisecond
	// soon bounds what must not wait for a time-out of its own.
	soon = 2 * time.Second
	// long is a patience that a test must not wait for.
	long = 20 * time.Second
)

// TestSilenceCostsOneTimeout failed while each idle connection of a pool cost a time-out of its own.
func TestSilenceCostsOneTimeout(t *testing.T) {
	listener, address := serve(t)
	set := NewSet(address, logging.Discard())
	client := set.Client(long)
	const idle = 5
	var calls sync.WaitGroup
	for range idle {
		calls.Go(func() { _ = ask(set, client, "/watch", patience) })
	}
	calls.Wait()
	for range idle {
		calls.Go(func() { assert.Check(t, ask(set, client, "/", long)) })
	}
	calls.Wait()
	listener.silence()
	assert.ErrorContains(t, ask(set, client, "/", patience), "timeout")
	assert.NilError(t, ask(set, client, "/", patience))
	assert.NilError(t, ask(set, client, "/", patience))
}

// TestAnswerEndsWhatHangsOnOlderConnections failed while a watch on a silent connection waited for its own time-out, though
// calls on new connections were answered.
func TestAnswerEndsWhatHangsOnOlderConnections(t *testing.T) {
	listener, address := serve(t)
	set := NewSet(address, logging.Discard())
	calls, watches := set.Client(long), set.Client(long)
	assert.NilError(t, ask(set, calls, "/", long))
	ended := make(chan error, 1)
	go func() { ended <- ask(set, watches, "/watch", long) }()
	for listener.count() < 2 {
		time.Sleep(time.Millisecond)
	}
	listener.silence()
	assert.ErrorContains(t, ask(set, calls, "/", patience), "timeout")
	assert.NilError(t, ask(set, calls, "/", long))
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(soon):
		t.Fatal("the watch hangs on")
	}
}

// TestWatchGoesOnWhileAllIsAnswered holds an answer against nothing that merely waits.
func TestWatchGoesOnWhileAllIsAnswered(t *testing.T) {
	_, address := serve(t)
	set := NewSet(address, logging.Discard())
	calls, watches := set.Client(long), set.Client(long)
	ended := make(chan error, 1)
	go func() { ended <- ask(set, watches, "/watch", long) }()
	for began := time.Now(); time.Since(began) < 2*leastQuiet; {
		assert.NilError(t, ask(set, calls, "/", long))
	}
	select {
	case err := <-ended:
		t.Fatalf("the watch was ended: %v", err)
	default:
	}
}

// count returns how many connections were made.
func (s *silencer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}
