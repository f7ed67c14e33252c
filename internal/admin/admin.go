package admin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/metric"
)

// Limits bound what a listener takes.
type Limits struct {
	// Body is the largest body in bytes.
	Body int
	// Read is how long a request may take to arrive, Idle how long a connection may wait for one.
	Read time.Duration
	Idle time.Duration
	// Connections is how many connections are served at once.
	Connections int
}

const (
	maxHeader = 16 << 10
	// closeWait is how long connections may take to end at a stop.
	closeWait = 2 * time.Second
)

// Server is an HTTP server on one listener.
type Server struct {
	server *fasthttp.Server
	done   chan struct{}
}

// Serve starts to serve on the listener within the limits.
//
// Refused answers what the server turns away before the handler sees it: a body that is too large, or no HTTP.
func Serve(listener net.Listener, limits Limits, handler fasthttp.RequestHandler,
	refused func(*fasthttp.RequestCtx, error),
) *Server {
	s := &Server{done: make(chan struct{}), server: &fasthttp.Server{
		Handler:               handler,
		ErrorHandler:          refused,
		Name:                  "saffronpulley",
		MaxRequestBodySize:    limits.Body,
		ReadBufferSize:        maxHeader,
		ReadTimeout:           limits.Read,
		IdleTimeout:           limits.Idle,
		Concurrency:           limits.Connections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s
}

// Done returns the channel that is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops accepting, lets the requests in hand end, and closes the connections.
func (s *Server) Close() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.server.Shutdown()
	}()
	select {
	case <-ended:
	case <-time.After(closeWait):
	}
}

// Listen listens on an address; a failure names the setting that gave it.
func Listen(address, setting string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: httpclient.Probes()}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadInput, "cannot listen; choose a free address for "+setting)
	}
	return listener, nil
}

// RefuseAsText answers what the server turns away with a plain sentence.
func RefuseAsText(ctx *fasthttp.RequestCtx, err error) {
	ctx.Error(err.Error()+"\n", refusalStatus(err))
}

// IsTooLarge reports whether the server turned a request away since its body is over the limit.
func IsTooLarge(err error) bool { return errors.Is(err, fasthttp.ErrBodyTooLarge) }

func refusalStatus(err error) int {
	if IsTooLarge(err) {
		return fasthttp.StatusRequestEntityTooLarge
	}
	return fasthttp.StatusBadRequest
}

// CloseAll closes servers at the same time.
func CloseAll(servers ...*Server) {
	var closing sync.WaitGroup
	for _, s := range servers {
		closing.Go(s.Close)
	}
	closing.Wait()
}

type quiet struct{}

// Printf implements fasthttp.Logger; what callers do wrong is answered to them.
func (quiet) Printf(string, ...any) {}

// Health answers whether the process is live and ready.
type Health struct {
	Ready   func() bool
	Metrics *metric.Registry
}

// Handle serves the health and the metrics, and reports whether the path is one of its.
func (h Health) Handle(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/live":
		ctx.SetBodyString("live\n")
	case "/ready":
		if !h.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready\n")
			return true
		}
		ctx.SetBodyString("ready\n")
	case "/metrics":
		ctx.SetContentType("application/json")
		h.Metrics.Write(ctx)
	default:
		return false
	}
	return true
}
