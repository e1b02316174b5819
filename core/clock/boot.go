package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads CLOCK_BOOTTIME, which advances while the machine is suspended. Go's
// monotonic clock does not.
type bootClock struct{ systemClock }

// NewBoot returns the system clock for a machine that may be suspended: its monotonic
// time includes the time of the suspension.
func NewBoot() Clock { return bootClock{systemClock{start: time.Now()}} }

// Now implements Clock.
func (b bootClock) Now() Mono {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return b.systemClock.Now()
	}
	return Mono(ts.Nano())
}
