package entry

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/admin"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/gate"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

func serve(tb testing.TB, handler fasthttp.RequestHandler) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	server := admin.Serve(listener, admin.Limits{Body: 1 << 20, Read: time.Minute, Idle: time.Minute, Connections: 1024}, handler, RefuseCaller)
	tb.Cleanup(server.Close)
	return listener.Addr().String()
}

// newEchoEntry returns an entry whose requests pass through a gate to an endpoint that echoes the body.
func newEchoEntry(tb testing.TB) *Entry {
	tb.Helper()
	endpoint := serve(tb, func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.Request.Body()) })
	clock := timeline.NewClock(time.Now)
	g := gate.New(gate.Config{Secret: "secret", Boot: "boot", Clock: clock})
	g.SetReplicas([]gate.Replica{{Service: "lookups", Address: endpoint, Slots: 64, Queue: 512, Target: time.Second}})
	e := New(Config{
		ID: "e", Hall: "h", Secret: "secret", Timing: Timing{DefaultDeadline: 5 * time.Second},
		Logger: logging.Discard(), Clock: clock, Recorder: timeline.NewRecorder(clock, "e", 8), Metrics: metric.New(),
	})
	rows, err := table.Parse([]byte("workload,kind,team,processors,memory_mb\nlookups,service,t,1,1\n"))
	assert.NilError(tb, err)
	applied, err := table.Table{}.Apply(table.NewEdit(0, rows, "x", "x"), time.Now())
	assert.NilError(tb, err)
	e.tableDocument.Set(store.Version(1), applied)
	e.catalog.SetPeer("h-0", nil)
	e.catalog.Update(control.Summary{Cell: "h-0", Position: control.Position{Epoch: 1}, Endpoints: []control.Endpoint{
		{Service: "lookups", Instance: "vm", Boot: "boot", Address: serve(tb, g.Handle), Hall: "h", Slots: 64},
	}})
	return e
}

func BenchmarkRequestPath(b *testing.B) {
	e := newEchoEntry(b)
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		ctx := &fasthttp.RequestCtx{}
		for pb.Next() {
			ctx.Request.Reset()
			ctx.Response.Reset()
			ctx.Request.Header.SetMethod(fasthttp.MethodPost)
			ctx.Request.SetRequestURI("http://x/v1/services/lookups")
			ctx.Request.Header.Set(HeaderRepeatable, "yes")
			ctx.Request.SetBodyString("where is ana")
			e.HandleCallers(ctx)
			if ctx.Response.StatusCode() != fasthttp.StatusOK {
				b.Fatalf("%d %s", ctx.Response.StatusCode(), ctx.Response.Body())
			}
		}
	})
}

func TestBodyOverTheLimitIsRefusedAsJSON(t *testing.T) {
	e := newEchoEntry(t)
	address := serve(t, e.HandleCallers)
	// The server responds to the Content-Length alone and closes the connection, so a client that first writes the whole
	// body may be reset before it reads the response; this client reads right after the header.
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, connection.Close()) }()
	_, err = fmt.Fprintf(connection, "POST /v1/services/lookups HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 1<<20+1)
	assert.NilError(t, err)
	response := fasthttp.AcquireResponse()
	assert.NilError(t, response.Read(bufio.NewReader(connection)))
	assert.Equal(t, response.StatusCode(), fasthttp.StatusRequestEntityTooLarge)
	assert.Assert(t, strings.Contains(string(response.Body()), `"kind":"too_large"`))
}

func TestBodyIsEchoedUnchanged(t *testing.T) {
	e := newEchoEntry(t)
	for _, body := range []string{"", "x", string(make([]byte, 1<<20-1))} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.SetRequestURI("http://x/v1/services/lookups")
		ctx.Request.SetBodyString(body)
		e.HandleCallers(ctx)
		assert.Equal(t, ctx.Response.StatusCode(), fasthttp.StatusOK)
		assert.Assert(t, string(ctx.Response.Body()) == body)
	}
}
