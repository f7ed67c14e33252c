package fleet

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// writeJSON answers with a JSON body.
func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// answerOrder answers an order; a reason means that it is refused.
func answerOrder(ctx *fasthttp.RequestCtx, inc *incarnation, reason string) {
	body := map[string]any{"clock-ms": inc.clock()}
	if reason != "" {
		body["reason"] = reason
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	writeJSON(ctx, body)
}

// readJSON decodes the JSON body of a call and answers a malformed one with status 400.
func readJSON(ctx *fasthttp.RequestCtx, body any) bool {
	if err := json.Unmarshal(ctx.PostBody(), body); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// writeError answers with the platform's status for an error; for an unknown outcome it drops the connection.
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

// dropConnection closes the connection without an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func closeConn(c net.Conn) { _ = c.Close() }
