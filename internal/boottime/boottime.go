package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time since the VM booted, including suspensions; the zero value means never.
type Instant time.Duration

// Add returns the instant at a duration after this one.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from another instant to this one.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// After reports whether the instant is later than another.
func (i Instant) After(o Instant) bool { return i > o }

// IsZero reports whether the instant means never.
func (i Instant) IsZero() bool { return i == 0 }

// Clock is a source of instants.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
}

// System is the clock of this VM.
type System struct{}

var _ Clock = System{}

// Now implements Clock. It panics if CLOCK_BOOTTIME is missing; every kernel that the program runs on has it.
func (System) Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("cannot read the boot time clock: " + err.Error())
	}
	return Instant(now.Nano())
}
