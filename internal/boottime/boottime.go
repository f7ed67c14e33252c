package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the VM began to run, suspensions included; the zero value stands for never.
type Instant time.Duration

// Add returns the instant some time later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns how much later the instant is than another.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// After reports whether the instant is later than another.
func (i Instant) After(o Instant) bool { return i > o }

// IsZero reports whether the instant stands for never.
func (i Instant) IsZero() bool { return i == 0 }

// Clock tells what instant it is.
type Clock interface {
	// Now returns the present instant.
	Now() Instant
}

// System is the clock of this VM.
type System struct{}

var _ Clock = System{}

// Now implements Clock. The kernel has had this clock for longer than any that the program runs on.
func (System) Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("the clock that counts suspensions cannot be read: " + err.Error())
	}
	return Instant(now.Nano())
}
