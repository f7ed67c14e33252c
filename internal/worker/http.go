package worker

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
	"github.com/saffronpulley/saffronpulley/internal/task"
)

const callTimeout = 2 * time.Second

// HTTP is a Worker that calls the worker's HTTP interface.
type HTTP struct {
	client  *fasthttp.HostClient
	address string
}

// NewHTTP returns a client for the worker at an address of the form host:port.
func NewHTTP(address string) *HTTP {
	return &HTTP{address: address, client: httpclient.New(address, callTimeout)}
}

// Describe implements Worker.
func (h *HTTP) Describe(ctx context.Context) (Description, error) {
	var wire DescriptionWire
	if err := h.do(ctx, "describe", nil, &wire); err != nil {
		return Description{}, err
	}
	return NewDescription(wire.Instance, wire.Capacity.Decode(), wire.Slots, wire.Connections), nil
}

// List implements Worker.
func (h *HTTP) List(ctx context.Context) ([]Status, error) {
	var encoded []StatusWire
	if err := h.do(ctx, "list", nil, &encoded); err != nil {
		return nil, err
	}
	statuses := make([]Status, 0, len(encoded))
	for _, w := range encoded {
		statuses = append(statuses, w.Decode())
	}
	return statuses, nil
}

// Start implements Worker.
func (h *HTTP) Start(ctx context.Context, order Order) error {
	return h.do(ctx, "start", encodeOrder(order), nil)
}

// Renew implements Worker.
func (h *HTTP) Renew(ctx context.Context, runs []task.Run, lease time.Duration) error {
	return h.do(ctx, "renew", RenewWire{Runs: EncodeRuns(runs), LeaseMillis: lease.Milliseconds()}, nil)
}

// Throttle implements Worker.
func (h *HTTP) Throttle(ctx context.Context, run task.Run, percent int) error {
	return h.do(ctx, "throttle", ThrottleWire{Run: EncodeRun(run), Percent: percent}, nil)
}

// Checkpoint implements Worker.
func (h *HTTP) Checkpoint(ctx context.Context, run task.Run) error {
	return h.do(ctx, "checkpoint", EncodeRun(run), nil)
}

// Stop implements Worker.
func (h *HTTP) Stop(ctx context.Context, run task.Run) error {
	return h.do(ctx, "stop", EncodeRun(run), nil)
}

// Forget implements Worker.
func (h *HTTP) Forget(ctx context.Context, run task.Run) error {
	return h.do(ctx, "forget", EncodeRun(run), nil)
}

// Usage implements Worker.
func (h *HTTP) Usage(ctx context.Context) ([]Usage, error) {
	var encoded []UsageWire
	if err := h.do(ctx, "usage", nil, &encoded); err != nil {
		return nil, err
	}
	usages := make([]Usage, 0, len(encoded))
	for _, w := range encoded {
		usages = append(usages, NewUsage(w.Run.Decode(), w.Used.Decode()))
	}
	return usages, nil
}

func (h *HTTP) do(ctx context.Context, verb string, params, result any) error {
	body, err := json.Marshal(params)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot encode the call to the worker")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + h.address + "/v1/" + verb)
	request.SetBody(body)
	if err := h.client.DoDeadline(request, response, httpclient.Deadline(ctx, callTimeout)); err != nil {
		return sendError(err, verb)
	}
	return decode(response, verb, result)
}

func sendError(err error, verb string) error {
	if httpclient.NotSent(err) {
		return fault.Wrap(err, fault.Unavailable, "the worker cannot be reached for "+verb)
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "the worker's answer to "+verb+" was lost")
}

func decode(response *fasthttp.Response, verb string, result any) error {
	switch status := response.StatusCode(); status {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotFound:
		return fault.New(fault.NotFound, "the run to %s is unknown to the worker", verb)
	case fasthttp.StatusConflict:
		return fault.New(fault.DoesNotFit, "the worker refuses to %s: %s", verb, response.Body())
	default:
		return fault.New(fault.Internal, "the worker answered status %d to %s: %s", status, verb, response.Body())
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return fault.Wrap(err, fault.Internal, "the worker's answer to "+verb+" cannot be read")
	}
	return nil
}
