package httpclient

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const dialTimeout = time.Second

// source is the address from which all connections of the process are made, nil for any.
var source net.Addr

// BindSource makes all connections of the process come from an IP number; it is called once, before the first.
func BindSource(address netip.Addr) {
	if address.IsValid() {
		source = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))
	}
}

// DialError is a connection that could not be made, so that nothing was sent.
type DialError struct{ cause error }

// Error returns the sentence of the error.
func (e *DialError) Error() string { return "cannot connect: " + e.cause.Error() }

// Unwrap returns the cause of the error.
func (e *DialError) Unwrap() error { return e.cause }

// NotSent reports whether err says that not a byte of the request was sent.
func NotSent(err error) bool {
	var e *DialError
	return errors.As(err, &e) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// Dial connects to an address host:port within a second; a failure is a DialError.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: source}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{cause: err}
	}
	return connection, nil
}

func dial(address string) (net.Conn, error) { return Dial(context.Background(), address) }
