package gate

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// Handle serves the requests of entries.
func (g *Gate) Handle(ctx *fasthttp.RequestCtx) {
	if !control.HasSecret(&ctx.Request, g.Secret) {
		g.refuse(ctx, fault.New(fault.Unauthorized, "the shared secret differs"))
		return
	}
	if clock, err := strconv.ParseUint(string(ctx.Request.Header.Peek(control.HeaderClock)), 10, 64); err == nil {
		g.Clock.Observe(timeline.Stamp(clock))
	}
	switch string(ctx.Path()) {
	case control.PathRequest:
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		g.handleRequest(ctx)
	case control.PathOutcome:
		g.handleOutcome(ctx)
	case control.PathSeal:
		g.handleSeal(ctx)
	default:
		g.refuse(ctx, fault.New(fault.NotFound, "there is no path %q", ctx.Path()))
	}
}

// call holds the headers of a request from an entry.
type call struct {
	exchange string
	service  string
	key      string
	slot     int
	epoch    uint64
	once     bool
	deadline time.Time
}

func readCall(request *fasthttp.Request) (call, error) {
	header := &request.Header
	millis, err := strconv.ParseInt(string(header.Peek(control.HeaderDeadline)), 10, 64)
	if err != nil || millis <= 0 {
		return call{}, fault.New(fault.BadInput, "the request has no deadline")
	}
	c := call{
		exchange: string(header.Peek(control.HeaderExchange)),
		service:  string(header.Peek(control.HeaderService)),
		key:      string(header.Peek(control.HeaderKey)),
		once:     len(header.Peek(control.HeaderOnce)) > 0,
		deadline: time.Now().Add(time.Duration(millis) * time.Millisecond),
	}
	if c.exchange == "" || c.service == "" {
		return call{}, fault.New(fault.BadInput, "the request has no exchange ID or no service")
	}
	if string(header.Peek(control.HeaderDigest)) != Digest(request.Body()) {
		return call{}, fault.New(fault.BadInput, "the body does not match its digest")
	}
	if c.key != "" {
		c.slot, err = strconv.Atoi(string(header.Peek(control.HeaderSlot)))
		if err != nil {
			return call{}, fault.New(fault.BadInput, "the slot of the key cannot be read")
		}
		c.epoch, err = strconv.ParseUint(string(header.Peek(control.HeaderEpoch)), 10, 64)
		if err != nil {
			return call{}, fault.New(fault.BadInput, "the epoch of the slot cannot be read")
		}
	}
	return c, nil
}

// Digest returns the digest of a body in the form that headers use.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

func (g *Gate) handleRequest(ctx *fasthttp.RequestCtx) {
	c, err := readCall(&ctx.Request)
	if err != nil {
		g.refuse(ctx, err)
		return
	}
	if boot := ctx.Request.Header.Peek(control.HeaderBoot); c.once && string(boot) != g.Boot {
		g.refuse(ctx, fault.New(fault.Stale, "the agent has restarted"))
		return
	}
	arrivedAt := time.Now()
	if c.once {
		if err := g.exchanges.admit(c.exchange, c.key, c.slot, c.epoch, arrivedAt); err != nil {
			g.refuse(ctx, err)
			return
		}
	}
	r, err := g.enter(context.Background(), c.service, c.deadline)
	if err != nil {
		if c.once {
			g.exchanges.withdraw(c.exchange, time.Now())
		}
		g.refuse(ctx, err)
		return
	}
	g.run(ctx, c, r, arrivedAt)
}

// run forwards the request to the endpoint; once it is sent, the outcome is unknown unless the endpoint answers.
func (g *Gate) run(ctx *fasthttp.RequestCtx, c call, r *replica, arrivedAt time.Time) {
	startedAt := time.Now()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + r.address + "/")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentTypeBytes(ctx.Request.Header.ContentType())
	request.Header.Set(control.HeaderExchange, c.exchange)
	request.SetBodyRaw(ctx.Request.Body())
	err := r.client.DoDeadline(request, response, c.deadline)
	endedAt := time.Now()
	r.exit(endedAt.Sub(startedAt), endedAt.Sub(arrivedAt))
	switch {
	case err == nil && answersOther(response, c.exchange):
		g.refuse(ctx, fault.New(fault.OutcomeUnknown, "the endpoint answered another request"))
	case err == nil:
		g.answer(ctx, c, r, response)
	case httpclient.NotSent(err):
		if c.once {
			g.exchanges.withdraw(c.exchange, endedAt)
		}
		g.refuse(ctx, fault.Wrap(err, fault.Unavailable, "the endpoint of "+r.service+" cannot be reached"))
	default:
		g.refuse(ctx, fault.Wrap(err, fault.OutcomeUnknown, "the endpoint's answer was lost"))
	}
}

// answersOther reports whether the response carries the ID of another exchange; the ID is optional.
func answersOther(response *fasthttp.Response, exchange string) bool {
	answered := response.Header.Peek(control.HeaderExchange)
	return len(answered) > 0 && string(answered) != exchange
}

func (g *Gate) answer(ctx *fasthttp.RequestCtx, c call, r *replica, response *fasthttp.Response) {
	ctx.SetStatusCode(response.StatusCode())
	ctx.Response.Header.SetContentTypeBytes(response.Header.ContentType())
	ctx.Response.Header.Set(control.HeaderExchange, c.exchange)
	ctx.Response.Header.Set(control.HeaderDigest, Digest(response.Body()))
	ctx.Response.Header.Set(control.HeaderLoad, strconv.Itoa(r.inFlight()))
	g.addState(ctx)
	ctx.Response.SetBody(response.Body())
}

func (g *Gate) addState(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(control.HeaderClock, strconv.FormatUint(uint64(g.Clock.Now()), 10))
	if g.leaving.Load() {
		ctx.Response.Header.Set(control.HeaderLeaving, "yes")
		ctx.SetConnectionClose()
	}
}

// refuse writes an error response with the error kind, from which the entry derives whether the request ran.
func (g *Gate) refuse(ctx *fasthttp.RequestCtx, err error) {
	kind := fault.KindOf(err)
	ctx.SetStatusCode(kind.Answer().Status())
	ctx.Response.Header.Set(control.HeaderKind, kind.String())
	ctx.Response.Header.Set(control.HeaderRetryAfter, strconv.FormatInt(fault.RetryAfter(err).Milliseconds(), 10))
	ctx.Response.Header.SetBytesV(control.HeaderExchange, ctx.Request.Header.Peek(control.HeaderExchange))
	g.addState(ctx)
	ctx.SetBodyString(err.Error())
}

func (g *Gate) handleOutcome(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(control.HeaderExchange))
	answer := control.OutcomeAnswer{Ran: string(fault.RanUnknown)}
	if string(ctx.Request.Header.Peek(control.HeaderBoot)) == g.Boot && g.exchanges.confirmNotRun(id, time.Now()) {
		answer.Ran = string(fault.RanNo)
	}
	writeJSON(ctx, answer)
}

func (g *Gate) handleSeal(ctx *fasthttp.RequestCtx) {
	var seal control.Seal
	if err := json.Unmarshal(ctx.Request.Body(), &seal); err != nil || len(seal.Slots) != len(seal.Epochs) {
		g.refuse(ctx, fault.New(fault.BadInput, "the slots cannot be read"))
		return
	}
	answer := control.SealAnswer{Boot: g.Boot, UptimeMillis: time.Since(g.startedAt).Milliseconds(), NoEarlierStart: g.noEarlierStart.Load()}
	for i, slot := range seal.Slots {
		answer.Keys = append(answer.Keys, g.exchanges.seal(slot, seal.Epochs[i])...)
	}
	writeJSON(ctx, answer)
}

func writeJSON(ctx *fasthttp.RequestCtx, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
