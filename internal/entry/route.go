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
	maxAttempts          = 8
	outcomeTimeout       = time.Second
	noEndpointRetryAfter = time.Second
)

// route sends a request to one endpoint after another until one answers or no further attempt is allowed.
func (e *Entry) route(r *request) (*idempotency.Answer, error) {
	row, _ := e.table().Row(r.service)
	e.countRequest(r.service, row.RetryBudget())
	var tried [maxAttempts]*catalog.Endpoint
	var lastErr error
	for attempt := range maxAttempts {
		if time.Until(r.deadline) <= 0 {
			break
		}
		endpoint := e.pick(r.service, tried[:attempt])
		if endpoint == nil {
			break
		}
		tried[attempt] = endpoint
		answer, err := e.try(endpoint, r, attempt)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		if !e.mayRetry(endpoint, r, attempt, err) {
			return nil, err
		}
	}
	return nil, finalError(r, lastErr)
}

// finalError returns the error of a request that cannot be tried again.
func finalError(r *request, lastErr error) error {
	if lastErr != nil && fault.KindOf(lastErr) != fault.Stale {
		return lastErr
	}
	if time.Until(r.deadline) <= 0 {
		return fault.New(fault.DeadlineExceeded, "no endpoint of %s accepted the request before its deadline", r.service)
	}
	return fault.New(fault.Unavailable, "%s has no endpoint at the moment", r.service).WithRetryAfter(noEndpointRetryAfter)
}

// pick chooses an endpoint that was not tried yet; if all are closed, it falls back to one on probation.
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

// mayRetry records a failure at its endpoint and reports whether the request may be sent to another one.
func (e *Entry) mayRetry(endpoint *catalog.Endpoint, r *request, attempt int, err error) bool {
	switch fault.KindOf(err) {
	case fault.Leaving:
		endpoint.Leave()
		return true
	case fault.Stale:
		return true
	case fault.Unavailable:
		e.recordEndpointFailure(endpoint, r)
		return true
	case fault.Overloaded:
		return e.spendRetry(r.service)
	case fault.OutcomeUnknown:
		e.recordEndpointFailure(endpoint, r)
		if r.once {
			return e.confirmNotRun(endpoint, r, attempt)
		}
		return e.spendRetry(r.service)
	default:
		return false
	}
}

func (e *Entry) recordEndpointFailure(endpoint *catalog.Endpoint, r *request) {
	if endpoint.Fail() {
		e.Recorder.Record(timeline.EndpointEjected,
			timeline.Subject{Worker: endpoint.Instance(), Request: r.id}, "the endpoint failed several requests in a row")
	}
}

func exchangeID(r *request, attempt int) string { return r.id + "." + strconv.Itoa(attempt) }

// try sends a request to one endpoint and reads its answer.
func (e *Entry) try(endpoint *catalog.Endpoint, r *request, attempt int) (*idempotency.Answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	exchange := exchangeID(r, attempt)
	e.fill(req, endpoint, r, exchange)
	endpoint.Begin()
	err := endpoint.Client().DoDeadline(req, resp, r.deadline)
	endpoint.End()
	switch {
	case err == nil:
		return e.readAnswer(endpoint, resp, exchange)
	case httpclient.NotSent(err):
		return nil, fault.Wrap(err, fault.Unavailable, "the agent cannot be reached")
	default:
		return nil, fault.Wrap(err, fault.OutcomeUnknown, "the agent's answer was lost")
	}
}

func (e *Entry) fill(req *fasthttp.Request, endpoint *catalog.Endpoint, r *request, exchange string) {
	req.SetRequestURI("http://" + endpoint.Address() + control.PathRequest)
	header := &req.Header
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
		header.Set(control.HeaderKey, r.storedKey())
		header.Set(control.HeaderSlot, strconv.Itoa(r.slot))
		header.Set(control.HeaderEpoch, strconv.FormatUint(r.epoch, 10))
	}
	req.SetBodyRaw(r.body)
}

// readAnswer returns the answer only if it is complete and belongs to this exchange.
func (e *Entry) readAnswer(endpoint *catalog.Endpoint, resp *fasthttp.Response, exchange string) (*idempotency.Answer, error) {
	header := &resp.Header
	if string(header.Peek(control.HeaderExchange)) != exchange {
		return nil, fault.New(fault.OutcomeUnknown, "the agent answered another request")
	}
	if len(header.Peek(control.HeaderLeaving)) > 0 {
		endpoint.Leave()
	}
	if kind := header.Peek(control.HeaderKind); len(kind) > 0 {
		return nil, readRefusal(resp, string(kind))
	}
	if string(header.Peek(control.HeaderDigest)) != gate.Digest(resp.Body()) {
		return nil, fault.New(fault.OutcomeUnknown, "the agent's answer is incomplete")
	}
	if load, err := strconv.Atoi(string(header.Peek(control.HeaderLoad))); err == nil {
		endpoint.SetReportedLoad(load)
	}
	endpoint.Succeed()
	body := append([]byte(nil), resp.Body()...)
	return idempotency.NewAnswer(resp.StatusCode(), string(header.ContentType()), body), nil
}

func readRefusal(resp *fasthttp.Response, kind string) error {
	refusal := fault.New(fault.ParseKind(kind), "%s", resp.Body())
	if millis, err := strconv.Atoi(string(resp.Header.Peek(control.HeaderRetryAfter))); err == nil {
		return refusal.WithRetryAfter(time.Duration(millis) * time.Millisecond)
	}
	return refusal
}

// confirmNotRun queries the agent about a request whose answer was lost, and reports whether it has not run and never will.
func (e *Entry) confirmNotRun(endpoint *catalog.Endpoint, r *request, attempt int) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + endpoint.Address() + control.PathOutcome)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(control.HeaderSecret, e.Secret)
	req.Header.Set(control.HeaderExchange, exchangeID(r, attempt))
	req.Header.Set(control.HeaderBoot, endpoint.Boot())
	end := time.Now().Add(outcomeTimeout)
	if r.deadline.Before(end) {
		end = r.deadline
	}
	if err := endpoint.Client().DoDeadline(req, resp, end); err != nil {
		return false
	}
	var answer control.OutcomeAnswer
	return json.Unmarshal(resp.Body(), &answer) == nil && answer.Ran == string(fault.RanNo)
}
