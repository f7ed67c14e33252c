package operator

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
)

const callTimeout = 10 * time.Second

// client calls the entries in order, the next one if one is unavailable.
type client struct {
	entries []string
}

func newClient(entries []string) *client { return &client{entries: entries} }

// answer is the response of an entry.
type answer struct {
	body   []byte
	header func(name string) string
}

// get reads a path.
func (c *client) get(path string) (answer, error) {
	return c.call(fasthttp.MethodGet, path, nil)
}

// getJSON reads a path into a value.
func (c *client) getJSON(path string, value any) ([]byte, error) {
	a, err := c.get(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(a.body, value); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the entry's answer cannot be read")
	}
	return a.body, nil
}

// post sends a body; the next entry may receive it again, so the request must be idempotent.
func (c *client) post(path string, body []byte) (answer, error) {
	return c.call(fasthttp.MethodPost, path, body)
}

func (c *client) call(method, path string, body []byte) (answer, error) {
	lastErr := error(fault.New(fault.BadInput, "no entry is given; use --entry or SAFFRONPULLEY_ENTRIES"))
	for _, entry := range c.entries {
		a, err := callEntry(entry, method, path, body)
		if err == nil {
			return a, nil
		}
		lastErr = err
		kind := fault.KindOf(err)
		if kind != fault.Unavailable && kind != fault.OutcomeUnknown && kind != fault.Leaving {
			return answer{}, err
		}
	}
	return answer{}, lastErr
}

// errorAnswer is the JSON body of an entry's error response.
type errorAnswer struct {
	Error struct {
		Kind             string `json:"kind"`
		Message          string `json:"message"`
		RetryAfterMillis int64  `json:"retry_after_ms"`
	} `json:"error"`
}

func callEntry(entry, method, path string, body []byte) (answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + entry + path)
	request.SetBody(body)
	if err := httpclient.New(entry, callTimeout).DoTimeout(request, response, callTimeout); err != nil {
		if httpclient.NotSent(err) {
			return answer{}, fault.Wrap(err, fault.Unavailable, "the entry at "+entry+" cannot be reached")
		}
		return answer{}, fault.Wrap(err, fault.OutcomeUnknown, "the answer of the entry at "+entry+" was lost")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return answer{}, readError(response)
	}
	return answer{
		body:   response.Body(),
		header: func(name string) string { return string(response.Header.Peek(name)) },
	}, nil
}

func readError(response *fasthttp.Response) error {
	var e errorAnswer
	if err := json.Unmarshal(response.Body(), &e); err != nil {
		return fault.New(fault.Internal, "the entry answered status %d: %s", response.StatusCode(), response.Body())
	}
	delay := time.Duration(e.Error.RetryAfterMillis) * time.Millisecond
	return fault.New(fault.ParseKind(e.Error.Kind), "%s", e.Error.Message).WithRetryAfter(delay)
}
