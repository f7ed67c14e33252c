package connection

import (
	"net"
	"sync/atomic"
	"time"
)

// trackedConn is a connection that records when it last transferred bytes.
type trackedConn struct {
	net.Conn
	set      *Set
	openedAt time.Time
	// lastActive is when bytes were last transferred, as monotonic nanoseconds since the set was created; the wall clock may jump.
	lastActive atomic.Int64
}

// Read implements net.Conn and records when bytes arrive.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordActivity(n)
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
