package rpc

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

type rawHandler func(ctx context.Context, p *Peer, params json.RawMessage) (any, error)

// Mux maps methods to their handlers.
type Mux struct {
	clock    *timeline.Clock
	handlers map[string]rawHandler
}

// NewMux returns a mux whose messages carry the time of the given clock.
func NewMux(clock *timeline.Clock) *Mux {
	return &Mux{clock: clock, handlers: make(map[string]rawHandler)}
}

// Handle registers the handler of a method; all methods must be registered before the mux is used.
func Handle[Req, Res any](m *Mux, method string, handle func(context.Context, *Peer, Req) (Res, error)) {
	m.handlers[method] = func(ctx context.Context, p *Peer, params json.RawMessage) (any, error) {
		var request Req
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, fault.Wrap(err, fault.BadInput, "the parameters of "+method+" cannot be read")
		}
		return handle(ctx, p, request)
	}
}

func (m *Mux) serve(ctx context.Context, p *Peer, request *jsonrpc2.Request) (any, error) {
	result, err := m.dispatch(ctx, p, request)
	if err != nil {
		return nil, encodeError(err)
	}
	body, err := json.Marshal(result)
	if err != nil {
		return nil, encodeError(err)
	}
	return envelope{Clock: uint64(m.clock.Now()), Body: body}, nil
}

func (m *Mux) dispatch(ctx context.Context, p *Peer, request *jsonrpc2.Request) (any, error) {
	handle, ok := m.handlers[request.Method]
	if !ok {
		return nil, fault.New(fault.NotFound, "there is no method %q", request.Method)
	}
	var params envelope
	if request.Params != nil {
		if err := json.Unmarshal(*request.Params, &params); err != nil {
			return nil, fault.Wrap(err, fault.BadInput, "the message has no envelope")
		}
	}
	m.clock.Observe(timeline.Stamp(params.Clock))
	return handle(ctx, p, params.Body)
}

func encodeError(err error) error {
	encoded := &jsonrpc2.Error{Code: int64(fault.KindOf(err)), Message: err.Error()}
	encoded.SetError(errorData{RetryAfterMillis: fault.RetryAfter(err).Milliseconds()})
	return encoded
}

func (m *Mux) observe(clock uint64) { m.clock.Observe(timeline.Stamp(clock)) }
