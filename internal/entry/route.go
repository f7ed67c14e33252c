package entry

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/catalog"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/gate"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/idempotency"
	"github.com/saffronpulley/saffronpulley/internal/routing"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

const (
	maxTries      = 8
	settleTimeout = time.Second
	noEndpoint    = time.Second
)

// route sends a request to one endpoint after another until one answers or nothing more may be tried.
func (e *Entry) route(r *request) (*idempotency.Answer, error) {
	row, _ := e.table().Row(r.service)
	e.countRequest(r.service, row.RetryBudget())
	var tried [maxTries]*catalog.Endpoint
	var last error
	for n := range maxTries {
		if time.Until(r.deadline) <= 0 {
			break
		}
		endpoint := e.pick(r.service, tried[:n])
		if endpoint == nil {
			break
		}
		tried[n] = endpoint
		answer, err := e.try(endpoint, r, n)
		if err == nil {
			return answer, nil
		}
		last = err
		if !e.mayRetry(endpoint, r, n, err) {
			return nil, err
		}
	}
	return nil, givenUp(r, last)
}

// givenUp is the answer to a request that nothing more can be tried for.
func givenUp(r *request, last error) error {
	if last != nil && fault.KindOf(last) != fault.Stale {
		return last
	}
	if time.Until(r.deadline) <= 0 {
		return fault.New(fault.DeadlineExceeded, "no endpoint of %s took the request before its deadline", r.service)
	}
	return fault.New(fault.Unavailable, "%s has no endpoint for now", r.service).WithRetryAfter(noEndpoint)
}

// pick chooses an endpoint that was not tried yet; where all are closed, one on probation is better than none.
func (e *Entry) pick(service string, tried []*catalog.Endpoint) *catalog.Endpoint {
	endpoints := e.catalog.Endpoints(service)
	random := rand.Uint64()
	i := chooseUntried(endpoints, tried, (*catalog.Endpoint).Candidate, random)
	if i < 0 {
		i = chooseUntried(endpoints, tried, (*catalog.Endpoint).LastResort, random)
	}
	if i < 0 {
		return nil
	}
	return endpoints[i]
}

func chooseUntried(endpoints, tried []*catalog.Endpoint, view func(*catalog.Endpoint) routing.Candidate, random uint64) int {
	return routing.Choose(endpoints, func(p **catalog.Endpoint) routing.Candidate {
		if slices.Contains(tried, *p) {
			return routing.Closed()
		}
		return view(*p)
	}, random)
}

// mayRetry decides whether a request may be sent to another endpoint after an error.
func (e *Entry) mayRetry(endpoint *catalog.Endpoint, r *request, n int, err error) bool {
	switch fault.KindOf(err) {
	case fault.Leaving:
		endpoint.Leave()
		return true
	case fault.Stale:
		return true
	case fault.Unavailable:
		e.noteFailure(endpoint, r)
		return true
	case fault.Overloaded:
		return e.spendRetry(r.service)
	case fault.OutcomeUnknown:
		e.noteFailure(endpoint, r)
		if r.once {
			return e.settle(endpoint, r, n)
		}
		return e.spendRetry(r.service)
	default:
		return false
	}
}

func (e *Entry) noteFailure(endpoint *catalog.Endpoint, r *request) {
	if endpoint.Fail() {
		e.Recorder.Record(timeline.EndpointEjected,
			timeline.Subject{Worker: endpoint.Instance(), Request: r.id}, "the endpoint failed several requests in a row")
	}
}

func exchangeID(r *request, n int) string { return r.id + "." + strconv.Itoa(n) }

// try sends a request to one endpoint.
func (e *Entry) try(endpoint *catalog.Endpoint, r *request, n int) (*idempotency.Answer, error) {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	exchange := exchangeID(r, n)
	e.fill(out, endpoint, r, exchange)
	endpoint.Begin()
	err := endpoint.Client().DoDeadline(out, in, r.deadline)
	endpoint.End()
	switch {
	case err == nil:
		return e.readAnswer(endpoint, in, exchange)
	case httpclient.NotSent(err):
		return nil, fault.Wrap(err, fault.Unavailable, "the agent cannot be reached")
	default:
		return nil, fault.Wrap(err, fault.OutcomeUnknown, "the agent's answer was lost")
	}
}

func (e *Entry) fill(out *fasthttp.Request, endpoint *catalog.Endpoint, r *request, exchange string) {
	out.SetRequestURI("http://" + endpoint.Address() + control.PathRequest)
	header := &out.Header
	header.SetMethod(fasthttp.MethodPost)
	header.SetContentType(r.contentType)
	header.Set(control.HeaderSecret, e.Secret)
	header.Set(control.HeaderExchange, exchange)
	header.Set(control.HeaderService, r.service)
	header.Set(control.HeaderDeadline, strconv.FormatInt(max(time.Until(r.deadline).Milliseconds(), 1), 10))
	header.Set(control.HeaderDigest, gate.Digest(r.body))
	if r.once {
		header.Set(control.HeaderOnce, "yes")
		header.Set(control.HeaderBoot, endpoint.Boot())
	}
	if r.once && r.key != "" {
		header.Set(control.HeaderKey, r.keyed())
		header.Set(control.HeaderSlot, strconv.Itoa(r.slot))
		header.Set(control.HeaderEpoch, strconv.FormatUint(r.epoch, 10))
	}
	out.SetBodyRaw(r.body)
}

// readAnswer takes an answer only if it is whole and of this exchange.
func (e *Entry) readAnswer(endpoint *catalog.Endpoint, in *fasthttp.Response, exchange string) (*idempotency.Answer, error) {
	header := &in.Header
	if string(header.Peek(control.HeaderExchange)) != exchange {
		return nil, fault.New(fault.OutcomeUnknown, "the agent answered another request")
	}
	if len(header.Peek(control.HeaderLeaving)) > 0 {
		endpoint.Leave()
	}
	if kind := header.Peek(control.HeaderKind); len(kind) > 0 {
		return nil, readRefusal(in, string(kind))
	}
	if string(header.Peek(control.HeaderDigest)) != gate.Digest(in.Body()) {
		return nil, fault.New(fault.OutcomeUnknown, "the agent's answer is not whole")
	}
	if load, err := strconv.Atoi(string(header.Peek(control.HeaderLoad))); err == nil {
		endpoint.SetReportedLoad(load)
	}
	endpoint.Succeed()
	body := append([]byte(nil), in.Body()...)
	return idempotency.NewAnswer(in.StatusCode(), string(header.ContentType()), body), nil
}

func readRefusal(in *fasthttp.Response, kind string) error {
	refusal := fault.New(fault.ParseKind(kind), "%s", in.Body())
	if millis, err := strconv.Atoi(string(in.Header.Peek(control.HeaderRetryAfter))); err == nil {
		return refusal.WithRetryAfter(time.Duration(millis) * time.Millisecond)
	}
	return refusal
}

// settle asks the agent about a request whose answer was lost, and reports whether it surely did not and will not run.
func (e *Entry) settle(endpoint *catalog.Endpoint, r *request, n int) bool {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	out.SetRequestURI("http://" + endpoint.Address() + control.PathOutcome)
	out.Header.SetMethod(fasthttp.MethodPost)
	out.Header.Set(control.HeaderSecret, e.Secret)
	out.Header.Set(control.HeaderExchange, exchangeID(r, n))
	out.Header.Set(control.HeaderBoot, endpoint.Boot())
	end := time.Now().Add(settleTimeout)
	if r.deadline.Before(end) {
		end = r.deadline
	}
	if err := endpoint.Client().DoDeadline(out, in, end); err != nil {
		return false
	}
	var answer control.OutcomeAnswer
	return json.Unmarshal(in.Body(), &answer) == nil && answer.Ran == string(fault.RanNo)
}
