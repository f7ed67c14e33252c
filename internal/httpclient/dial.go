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
	// probeInterval is how often an idle connection is probed; the kernel counts in whole seconds.
	probeInterval = time.Second
	// maxUnansweredProbes is how many unanswered probes end a connection.
	maxUnansweredProbes = 2
	// acknowledgementTimeout is how long sent bytes or a probe may remain unacknowledged by the peer.
	acknowledgementTimeout = 2 * time.Second
)

// sourceAddress is the local address of all connections of the process, nil for any.
var sourceAddress net.Addr

// BindSource sets the source address of all connections of the process; it must be called once, before the first connection.
func BindSource(address netip.Addr) {
	if address.IsValid() {
		sourceAddress = net.TCPAddrFromAddrPort(netip.AddrPortFrom(address, 0))
	}
}

// DialError is a failure to connect, after which nothing was sent.
type DialError struct{ cause error }

// Error returns the message of the error.
func (e *DialError) Error() string { return "cannot connect: " + e.cause.Error() }

// Unwrap returns the cause of the error.
func (e *DialError) Unwrap() error { return e.cause }

// NotSent reports whether err means that no byte of the request was sent.
func NotSent(err error) bool {
	var e *DialError
	return errors.As(err, &e) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// Dial connects to an address of the form host:port within a second; a failure is a DialError.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: sourceAddress, KeepAliveConfig: Probes(), Control: setUserTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{cause: err}
	}
	return connection, nil
}

func dial(address string) (net.Conn, error) { return Dial(context.Background(), address) }

// Probes returns the keep-alive settings, under which a connection whose peer has vanished without a reset ends within seconds.
func Probes() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxUnansweredProbes}
}

// setUserTimeout makes the kernel end a connection whose bytes are not acknowledged in time.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(acknowledgementTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}
