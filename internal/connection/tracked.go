package connection

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// maxPause is how long the bytes of an answer may pause, longer than the retransmission of a lost packet takes.
const maxPause = time.Second

// trackedConn is a connection that records when it last transferred bytes. Only one answer is read from it at a time.
type trackedConn struct {
	net.Conn
	set      *Set
	openedAt time.Time
	// lastActive is when bytes were last transferred, as monotonic nanoseconds since the set was created; the wall clock may jump.
	lastActive atomic.Int64
	// received counts the bytes received since the read deadline was last set, which is once for each answer.
	received int64
	// deadline is the read deadline in force, latestDeadline the latest to which arriving bytes may extend it.
	deadline, latestDeadline time.Time
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

// SetReadDeadline implements net.Conn; the deadline is that of the first bytes of an answer.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.received, c.deadline, c.latestDeadline = 0, t, t.Add(c.set.transferTimeout)
	return c.Conn.SetReadDeadline(t)
}

// extendDeadline extends the read deadline after bytes have arrived.
func (c *trackedConn) extendDeadline() error {
	extended := time.Now().Add(maxPause)
	if extended.After(c.latestDeadline) {
		extended = c.latestDeadline
	}
	if c.deadline.IsZero() || !extended.After(c.deadline) {
		return nil
	}
	c.deadline = extended
	return c.Conn.SetReadDeadline(extended)
}

// Read implements net.Conn and records when bytes arrive.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordActivity(n)
	c.received += int64(n)
	if n > 0 && err == nil {
		err = c.extendDeadline()
	}
	var timeout net.Error
	if c.received > 0 && errors.As(err, &timeout) && timeout.Timeout() {
		return n, &incompleteError{timeout: timeout, received: c.received}
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
