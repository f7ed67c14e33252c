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

// errorWire is the JSON body of each error response.
type errorWire struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind             string `json:"kind"`
	Message          string `json:"message"`
	Ran              string `json:"ran"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// writeError writes an error response, with a Retry-After header if errors of this kind have a retry delay.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	kind := fault.KindOf(err)
	answer := kind.Answer()
	detail := errorDetail{Kind: kind.String(), Message: err.Error(), Ran: string(answer.Ran())}
	if answer.HasRetryAfter() {
		delay := fault.RetryAfter(err)
		detail.RetryAfterMillis = delay.Milliseconds()
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(delay))
	}
	writeJSON(ctx, answer.Status(), errorWire{Error: detail})
}

// RefuseCaller writes the response to a request that the HTTP server rejects before its handler runs.
func RefuseCaller(ctx *fasthttp.RequestCtx, err error) {
	if admin.IsTooLarge(err) {
		writeError(ctx, fault.Wrap(err, fault.TooLarge, "the body is over the limit"))
		return
	}
	writeError(ctx, fault.Wrap(err, fault.BadInput, "the request cannot be read"))
}

// retryAfterSeconds formats a delay for the Retry-After header: whole seconds, rounded up.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
