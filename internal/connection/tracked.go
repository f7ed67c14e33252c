package connection

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// trackedConn is a connection that records when it last transferred bytes.
type trackedConn struct {
	net.Conn
	set      *Set
	openedAt time.Time
	// lastActive is when bytes were last transferred, as monotonic nanoseconds since the set was created; the wall clock may jump.
	lastActive atomic.Int64
	// received counts the bytes received since the read deadline was last set, which is once for each answer.
	received atomic.Int64
}

// incompleteError is a timeout in the middle of an answer.
type incompleteError struct {
	timeout  net.Error
	received int64
}

// Error returns the message of the timeout with the number of bytes that had arrived.
func (e *incompleteError) Error() string {
	return fmt.Sprintf("%v after %d bytes of the answer", e.timeout, e.received)
}

// Unwrap returns the timeout.
func (e *incompleteError) Unwrap() error { return e.timeout }

// Timeout implements net.Error.
func (e *incompleteError) Timeout() bool { return true }

// Temporary implements net.Error.
func (e *incompleteError) Temporary() bool { return true }

// SetReadDeadline implements net.Conn and marks the start of an answer.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.received.Store(0)
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn and records when bytes arrive.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordActivity(n)
	received := c.received.Add(int64(n))
	var timeout net.Error
	if received > 0 && errors.As(err, &timeout) && timeout.Timeout() {
		return n, &incompleteError{timeout: timeout, received: received}
	}
	return n, err
}

// Write implements net.Conn and records when bytes are sent.
func (c *trackedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.recordActivity(n)
	return n, err
}

// Close implements net.Conn and removes the connection from the set.
func (c *trackedConn) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// recordActivity records the current time if bytes were transferred.
func (c *trackedConn) recordActivity(n int) {
	if n > 0 {
		c.lastActive.Store(int64(time.Since(c.set.createdAt)))
	}
}
