package connection

import (
	"net"
	"sync/atomic"
	"time"
)

// tracked is a connection of which the set knows when bytes last moved.
type tracked struct {
	net.Conn
	set    *Set
	opened time.Time
	// active is when bytes last moved, in nanoseconds since the set began; the time of day may jump meanwhile.
	active atomic.Int64
}

// Read reads bytes and takes note of when they came.
func (c *tracked) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.note(n)
	return n, err
}

// Write writes bytes and takes note of when they left.
func (c *tracked) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.note(n)
	return n, err
}

// Close ends the connection.
func (c *tracked) Close() error {
	c.set.forget(c)
	return c.Conn.Close()
}

// note takes note of bytes that moved just now.
func (c *tracked) note(n int) {
	if n > 0 {
		c.active.Store(int64(time.Since(c.set.began)))
	}
}
