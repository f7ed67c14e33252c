package boottimetest

import (
	"sync/atomic"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/boottime"
)

// Clock goes with the steady clock, also with a fake one, but for suspensions.
type Clock struct{ suspended atomic.Int64 }

var _ boottime.Clock = (*Clock)(nil)

// Now implements boottime.Clock.
func (c *Clock) Now() boottime.Instant {
	return boottime.Instant(time.Now().UnixNano() + c.suspended.Load())
}

// Suspend lets the VM have been suspended for a time, which the steady clock does not count.
func (c *Clock) Suspend(d time.Duration) { c.suspended.Add(int64(d)) }
