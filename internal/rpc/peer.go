package rpc

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/httpclient"
)

const methodHello = "hello"

// lastNumber is the number of the latest connection of the process.
var lastNumber atomic.Uint64

// Peer is the remote end of a connection.
type Peer struct {
	number        uint64
	mux           *Mux
	connection    *jsonrpc2.Conn
	secret        string
	authenticated atomic.Bool
	// refusal is the error with which the hello message is answered, nil for an admitted peer.
	refusal error
}

type hello struct {
	Secret string `json:"secret"`
}

// Dialer connects to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Dial connects to an address of the form host:port and authenticates with the shared secret.
func Dial(ctx context.Context, address, secret string, m *Mux) (*Peer, error) {
	return DialWith(ctx, httpclient.Dial, address, secret, m)
}

// DialWith connects to an address by a dialer and authenticates with the shared secret.
func DialWith(ctx context.Context, dial Dialer, address, secret string, m *Mux) (*Peer, error) {
	stream, err := dial(ctx, address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "cannot connect")
	}
	p := newPeer(stream, secret, m, nil)
	p.authenticated.Store(true)
	if _, err := Call[hello, struct{}](ctx, p, methodHello, hello{Secret: secret}); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func newPeer(stream net.Conn, secret string, m *Mux, refusal error) *Peer {
	p := &Peer{number: lastNumber.Add(1), mux: m, secret: secret, refusal: refusal}
	objects := jsonrpc2.NewBufferedStream(countedConn{stream}, boundedCodec{})
	// The connection starts reading at once, so the handler waits until the peer is initialized.
	ready := make(chan struct{})
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		<-ready
		return p.handle(ctx, r)
	})
	p.connection = jsonrpc2.NewConn(context.Background(), objects, jsonrpc2.AsyncHandler(handler),
		jsonrpc2.SetLogger(discardLogger{}))
	close(ready)
	return p
}

func (p *Peer) handle(ctx context.Context, request *jsonrpc2.Request) (any, error) {
	if request.Method == methodHello {
		return p.handleHello(request)
	}
	if !p.authenticated.Load() {
		return nil, encodeError(fault.New(fault.Unauthorized, "the peer has not sent the shared secret"))
	}
	return p.mux.serve(ctx, p, request)
}

func (p *Peer) handleHello(request *jsonrpc2.Request) (any, error) {
	var params envelope
	var greeting hello
	if request.Params == nil || json.Unmarshal(*request.Params, &params) != nil || json.Unmarshal(params.Body, &greeting) != nil {
		return nil, encodeError(fault.New(fault.BadInput, "the hello message cannot be decoded"))
	}
	if subtle.ConstantTimeCompare([]byte(greeting.Secret), []byte(p.secret)) != 1 {
		return nil, encodeError(fault.New(fault.Unauthorized, "the shared secret differs"))
	}
	if p.refusal != nil {
		return nil, encodeError(p.refusal)
	}
	p.authenticated.Store(true)
	return envelope{Body: json.RawMessage("{}")}, nil
}

// Number returns the number of the connection; later connections of this process have higher numbers.
func (p *Peer) Number() uint64 { return p.number }

// Done returns the channel that is closed when the connection has ended.
func (p *Peer) Done() <-chan struct{} { return p.connection.DisconnectNotify() }

// Close ends the connection.
func (p *Peer) Close() { _ = p.connection.Close() }

// Call sends a request and waits for its answer; a lost answer is an error of kind OutcomeUnknown.
func Call[Req, Res any](ctx context.Context, p *Peer, method string, request Req) (Res, error) {
	var result Res
	body, err := json.Marshal(request)
	if err != nil {
		return result, fault.Wrap(err, fault.Internal, "cannot encode the request")
	}
	var answer envelope
	err = p.connection.Call(ctx, method, envelope{Clock: uint64(p.mux.clock.Now()), Body: body}, &answer)
	if err != nil {
		return result, decodeError(err)
	}
	p.mux.observe(answer.Clock)
	if err := json.Unmarshal(answer.Body, &result); err != nil {
		return result, fault.Wrap(err, fault.OutcomeUnknown, "the answer cannot be read")
	}
	return result, nil
}

func decodeError(err error) error {
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		return fault.Wrap(err, fault.OutcomeUnknown, "the answer was lost")
	}
	var data errorData
	if remote.Data != nil {
		_ = json.Unmarshal(*remote.Data, &data)
	}
	kind := fault.Kind(remote.Code)
	if kind < fault.Internal || kind > fault.Gone {
		kind = fault.Internal
	}
	return fault.New(kind, "%s", remote.Message).WithRetryAfter(time.Duration(data.RetryAfterMillis) * time.Millisecond)
}

type discardLogger struct{}

// Printf implements jsonrpc2.Logger and discards the library's messages about broken connections, which callers report themselves.
func (discardLogger) Printf(string, ...any) {}
