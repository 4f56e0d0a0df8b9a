package rattanclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// bootClock reads CLOCK_BOOTTIME, which counts the time that a VM is suspended
// and never jumps. Its times are offsets from the Unix epoch and only their
// differences mean anything.
type bootClock struct {
	clockwork.Clock
}

// BootTime returns a clock for the age of knowledge: it counts suspension, which the
// monotonic clock does not, and does not follow the time of day.
func BootTime() Clock {
	return bootClock{clockwork.NewRealClock()}
}

// Now returns the time since boot as an offset from the Unix epoch. Where the
// kernel lacks the clock it returns the monotonic time of the system clock.
func (c bootClock) Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return c.Clock.Now()
	}
	return time.Unix(0, spec.Nano())
}
