package gate

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

func TestHandleRefusesInvalidRequests(t *testing.T) {
	validHeaders := map[string]string{
		control.HeaderSecret: "secret", control.HeaderExchange: "x", control.HeaderService: "lookups",
		control.HeaderDeadline: "1000", control.HeaderDigest: Digest([]byte("body")),
	}
	cases := []struct {
		name, header, value string
		want                fault.Kind
	}{
		{"valid, but no replica", "X-Other", "", fault.Stale},
		{"another secret", control.HeaderSecret, "other", fault.Unauthorized},
		{"no exchange", control.HeaderExchange, "", fault.BadInput},
		{"no deadline", control.HeaderDeadline, "soon", fault.BadInput},
		{"a truncated body", control.HeaderDigest, "0", fault.BadInput},
		{"a key without its slot", control.HeaderKey, "k", fault.BadInput},
		{"once, for an earlier incarnation", control.HeaderOnce, "yes", fault.Stale},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := New(Config{Secret: "secret", Boot: "boot", Clock: timeline.NewClock(time.Now)})
			ctx := &fasthttp.RequestCtx{}
			for name, value := range validHeaders {
				ctx.Request.Header.Set(name, value)
			}
			ctx.Request.Header.Set(c.header, c.value)
			ctx.Request.SetRequestURI("http://x" + control.PathRequest)
			ctx.Request.SetBodyString("body")
			g.Handle(ctx)
			assert.Equal(t, string(ctx.Response.Header.Peek(control.HeaderKind)), c.want.String())
		})
	}
}

func FuzzReadCall(f *testing.F) {
	f.Add("id", "lookups", "100", "key", "3", "1", []byte("body"))
	f.Add("", "", "-1", "k", "x", "-", []byte(nil))
	f.Fuzz(func(t *testing.T, exchange, service, deadline, key, slot, epoch string, body []byte) {
		request := &fasthttp.Request{}
		request.Header.Set(control.HeaderExchange, exchange)
		request.Header.Set(control.HeaderService, service)
		request.Header.Set(control.HeaderDeadline, deadline)
		request.Header.Set(control.HeaderKey, key)
		request.Header.Set(control.HeaderSlot, slot)
		request.Header.Set(control.HeaderEpoch, epoch)
		request.Header.Set(control.HeaderDigest, Digest(body))
		request.SetBody(body)
		c, err := readCall(request)
		if err != nil {
			assert.Equal(t, fault.KindOf(err), fault.BadInput)
			return
		}
		assert.Assert(t, c.exchange != "" && c.service != "")
	})
}
