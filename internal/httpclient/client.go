package httpclient

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// New returns a client that never sends a request twice and whose failed dials are of kind DialError.
func New(address string, timeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      dial,
		ReadTimeout:               timeout,
		WriteTimeout:              timeout,
		MaxConns:                  256,
		MaxIdleConnDuration:       30 * time.Second,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
}

// Deadline returns the earlier of the deadline of ctx and the end of the timeout.
func Deadline(ctx context.Context, timeout time.Duration) time.Time {
	deadline := time.Now().Add(timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		return end
	}
	return deadline
}
