package fleet

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// writeJSON answers with a body in JSON.
func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// answerOrder answers an order, with the reason where it is refused.
func answerOrder(ctx *fasthttp.RequestCtx, inc *incarnation, reason string) {
	body := map[string]any{"clock-ms": inc.clock()}
	if reason != "" {
		body["reason"] = reason
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	writeJSON(ctx, body)
}

// readJSON takes the JSON body of a call, and answers one that is malformed.
func readJSON(ctx *fasthttp.RequestCtx, body any) bool {
	if err := json.Unmarshal(ctx.PostBody(), body); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// writeError answers an error as the platform does; an answer that is lost breaks the connection.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	switch fault.KindOf(err) {
	case fault.OutcomeUnknown:
		dropConnection(ctx)
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

// dropConnection breaks the connection in place of an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func closeConn(c net.Conn) { _ = c.Close() }
