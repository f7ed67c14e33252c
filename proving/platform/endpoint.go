package platform

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/control"
)

type netConn = net.Conn

// endpoints are the service endpoints of a worker; executed counts the requests by body.
type endpoints struct {
	service atomic.Int64
	fault   atomic.Value

	mu       sync.Mutex
	executed map[string]int
}

func newEndpoints() *endpoints {
	e := &endpoints{executed: make(map[string]int)}
	e.fault.Store("")
	return e
}

func (e *endpoints) setService(d time.Duration) { e.service.Store(int64(d)) }

func (e *endpoints) setFault(fault string) { e.fault.Store(fault) }

func (e *endpoints) count(body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executed[body]++
}

func (e *endpoints) counts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.executed))
	for body, n := range e.executed {
		counts[body] = n
	}
	return counts
}

// endpoint is one replica of a service.
type endpoint struct {
	address  string
	server   *fasthttp.Server
	listener net.Listener
}

const maxCountedBody = 64

func (e *endpoints) open(host string, service time.Duration, pressure func() float64) (*endpoint, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	if e.service.Load() == 0 {
		e.setService(service)
	}
	opened := &endpoint{address: listener.Addr().String(), listener: listener}
	opened.server = &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { e.serve(ctx, pressure) }}
	go func() { _ = opened.server.Serve(listener) }()
	return opened, nil
}

func (e *endpoint) close() { _ = e.listener.Close() }

// serve executes a request: it takes the service time, longer under load by batch tasks, and echoes the body.
func (e *endpoints) serve(ctx *fasthttp.RequestCtx, pressure func() float64) {
	body := append([]byte(nil), ctx.Request.Body()...)
	if len(body) <= maxCountedBody {
		e.count(string(body))
	}
	if d := time.Duration(e.service.Load()); d > 0 {
		<-time.After(time.Duration(float64(d) * (1 + pressure())))
	}
	ctx.Response.Header.SetBytesV(control.HeaderExchange, ctx.Request.Header.Peek(control.HeaderExchange))
	ctx.SetBody(body)
	e.applyFault(ctx)
}

// applyFault replaces the answer by a wrong one while a fault is set.
func (e *endpoints) applyFault(ctx *fasthttp.RequestCtx) {
	switch e.fault.Load() {
	case "other":
		ctx.Response.Header.Set(control.HeaderExchange, "another")
	case "short":
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c netConn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"))
			_ = c.Close()
		})
	case "twice":
		ctx.HijackSetNoResponse(true)
		exchange := string(ctx.Request.Header.Peek(control.HeaderExchange))
		answer := []byte("HTTP/1.1 200 OK\r\n" + control.HeaderExchange + ": " + exchange + "\r\nContent-Length: 5\r\n\r\ntwice")
		ctx.Hijack(func(c netConn) {
			_, _ = c.Write(append(answer, answer...))
			<-time.After(time.Second)
			_ = c.Close()
		})
	case "none":
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c netConn) { _ = c.Close() })
	}
}
