package connection

import (
	"bufio"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/logging"
)

const (
	// pieces is the number of parts in which serveSlowly sends an answer, pieceInterval the time between them.
	pieces        = 5
	pieceInterval = shortTimeout / 2
)

// serveSlowly answers each request with a number of pieces, of which it sends only some if sent is smaller.
func serveSlowly(t *testing.T, sent int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	const piece = "0123456789"
	ended := make(chan struct{})
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			writer := bufio.NewWriter(c)
			_, _ = writer.WriteString("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(pieces*len(piece)) + "\r\n\r\n")
			for range sent {
				_, _ = writer.WriteString(piece)
				_ = writer.Flush()
				<-time.After(pieceInterval)
			}
			<-ended
		})
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		close(ended)
		_ = listener.Close()
	})
	return listener.Addr().String()
}

// TestArrivingAnswerOutlastsItsTimeout guards against answers that are requested again and again because they take longer to arrive than
// the timeout of their call.
func TestArrivingAnswerOutlastsItsTimeout(t *testing.T) {
	set := NewSet(serveSlowly(t, pieces), logging.Discard()).WithTransferTimeout(longTimeout)
	assert.NilError(t, send(set, set.Client(longTimeout), "/", shortTimeout))
}

// TestStalledAnswerEnds checks that an answer that stops arriving ends its call, with the number of bytes that have arrived.
func TestStalledAnswerEnds(t *testing.T) {
	set := NewSet(serveSlowly(t, 2), logging.Discard()).WithTransferTimeout(longTimeout)
	began := time.Now()
	err := send(set, set.Client(longTimeout), "/", shortTimeout)
	assert.ErrorContains(t, err, "bytes of the answer")
	assert.Assert(t, time.Since(began) < longTimeout)
}

// TestTransferTimeoutEndsAnswer checks that an answer that keeps arriving ends at the limit.
func TestTransferTimeoutEndsAnswer(t *testing.T) {
	set := NewSet(serveSlowly(t, pieces), logging.Discard()).WithTransferTimeout(pieceInterval / 2)
	assert.ErrorContains(t, send(set, set.Client(longTimeout), "/", shortTimeout), "bytes of the answer")
}
