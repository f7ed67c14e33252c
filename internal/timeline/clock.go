package timeline

import (
	"sync"
	"time"
)

const counterBits = 16

// Stamp is a timestamp of the hybrid logical clock: milliseconds since 1970 in the upper bits, a counter in the lower 16 bits.
type Stamp uint64

// Millis returns the milliseconds since 1970 of the stamp.
func (s Stamp) Millis() int64 { return int64(s >> counterBits) }

// Clock is a hybrid logical clock: its stamps increase, and are above each stamp that it has observed.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock based on a source of the wall-clock time.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp above all stamps that it has returned or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, Stamp(c.now().UnixMilli())<<counterBits)
	return c.last
}

// Observe records a stamp of another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
