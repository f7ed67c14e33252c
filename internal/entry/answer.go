package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/admin"
	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// errorWire is the body of each error answer.
type errorWire struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind             string `json:"kind"`
	Message          string `json:"message"`
	Ran              string `json:"ran"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// writeError answers with an error at once, and tells when to return where that makes sense.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	kind := fault.KindOf(err)
	answer := kind.Answer()
	detail := errorDetail{Kind: kind.String(), Message: err.Error(), Ran: string(answer.Ran())}
	if answer.HasRetryAfter() {
		after := fault.RetryAfter(err)
		detail.RetryAfterMillis = after.Milliseconds()
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(after))
	}
	writeJSON(ctx, answer.Status(), errorWire{Error: detail})
}

// RefuseCaller answers what the server itself turns away.
func RefuseCaller(ctx *fasthttp.RequestCtx, err error) {
	if admin.IsTooLarge(err) {
		writeError(ctx, fault.Wrap(err, fault.TooLarge, "the body is over the limit"))
		return
	}
	writeError(ctx, fault.Wrap(err, fault.BadInput, "the request cannot be read"))
}

// retryAfterSeconds is the header's form of a wait: whole seconds, rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
