package httpclient

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout = time.Second
	// probeEvery is how often a connection on which nothing moves is probed; the kernel counts in whole seconds.
	probeEvery = time.Second
	// unansweredProbes end a connection.
	unansweredProbes = 2
	// unacknowledgedFor is how long bytes that were sent, or a probe, may go without an acknowledgement of the other side.
	unacknowledgedFor = 2 * time.Second
)

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
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: source, KeepAliveConfig: Probes(), Control: endUnacknowledged}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{cause: err}
	}
	return connection, nil
}

func dial(address string) (net.Conn, error) { return Dial(context.Background(), address) }

// Probes returns how connections are probed, so that one whose other side is gone without a word ends within seconds.
func Probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: unansweredProbes}
}

// endUnacknowledged makes the kernel end a connection whose bytes are not acknowledged for long.
func endUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedFor.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}
