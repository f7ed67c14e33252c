package boottimetest

import (
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
)

// Clock follows time.Now, which may be a fake clock, and adds simulated suspensions.
type Clock struct{ suspended atomic.Int64 }

var _ boottime.Clock = (*Clock)(nil)

// Now implements boottime.Clock.
func (c *Clock) Now() boottime.Instant {
	return boottime.Instant(time.Now().UnixNano() + c.suspended.Load())
}

// Suspend simulates a suspension of the VM, which time.Now does not count.
func (c *Clock) Suspend(d time.Duration) { c.suspended.Add(int64(d)) }
