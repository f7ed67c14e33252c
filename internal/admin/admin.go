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

// Limits bounds the resources that a listener uses.
type Limits struct {
	// Body is the maximum size of a body in bytes.
	Body int
	// Read is the maximum time to receive a request, Idle that of a connection between requests.
	Read time.Duration
	Idle time.Duration
	// Connections is the maximum number of concurrent connections.
	Connections int
}

const (
	maxHeader = 16 << 10
	// closeTimeout bounds the wait for open connections at a stop.
	closeTimeout = 2 * time.Second
)

// Server is an HTTP server on one listener.
type Server struct {
	server *fasthttp.Server
	done   chan struct{}
}

// Serve starts to serve on the listener within the limits.
//
// refused answers requests that the server rejects before the handler runs: the body is too large, or it is not HTTP.
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
		Logger:                discardLogger{},
	}}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s
}

// Done returns the channel that is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops accepting connections, waits for requests in flight for up to closeTimeout, and closes the connections.
func (s *Server) Close() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.server.Shutdown()
	}()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
	}
}

// Listen listens on an address; an error names the setting that holds the address.
func Listen(address, setting string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: httpclient.Probes()}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadInput, "cannot listen; choose a free address for "+setting)
	}
	return listener, nil
}

// RefuseAsText answers a request that the server rejects with the error as plain text.
func RefuseAsText(ctx *fasthttp.RequestCtx, err error) {
	ctx.Error(err.Error()+"\n", refusalStatus(err))
}

// IsTooLarge reports whether the server rejected a request because its body exceeds the limit.
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

type discardLogger struct{}

// Printf implements fasthttp.Logger; client errors are reported in the response and not logged.
func (discardLogger) Printf(string, ...any) {}

// Health serves the liveness, readiness and metrics of a process.
type Health struct {
	Ready   func() bool
	Metrics *metric.Registry
}

// Handle serves the health and the metrics, and reports whether the path belongs to it.
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
