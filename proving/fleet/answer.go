package fleet

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// write answers with a body in JSON.
func write(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// answer answers an order, with the reason where it is refused.
func answer(ctx *fasthttp.RequestCtx, l *life, reason string) {
	body := map[string]any{"clock-ms": l.clock()}
	if reason != "" {
		body["reason"] = reason
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	write(ctx, body)
}

// read takes the JSON body of a call, and answers one that is malformed.
func read(ctx *fasthttp.RequestCtx, body any) bool {
	if err := json.Unmarshal(ctx.PostBody(), body); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// refuse answers an error as the platform does; an answer that is lost breaks the connection.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	switch fault.KindOf(err) {
	case fault.OutcomeUnknown:
		lose(ctx)
	case fault.Conflict:
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
	case fault.NotFound:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case fault.Stale:
		ctx.SetStatusCode(fasthttp.StatusGone)
	case fault.BadInput:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// lose breaks the connection in place of an answer.
func lose(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func closeConn(c net.Conn) { _ = c.Close() }
