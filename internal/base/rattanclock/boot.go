package rattanclock

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// bootClock reads CLOCK_BOOTTIME, which includes the time during which the VM is
// suspended and is never set. Its times are offsets from the Unix epoch, and only
// differences between them are meaningful.
type bootClock struct {
	clockwork.Clock
}

// BootTime returns a clock for measuring intervals, such as the age of cached data.
// Unlike the monotonic clock it includes the time during which the VM is suspended,
// and unlike the wall clock it is not affected when the time of day is set.
func BootTime() Clock {
	return bootClock{clockwork.NewRealClock()}
}

// Now returns the time since boot as an offset from the Unix epoch. Where the kernel
// does not have CLOCK_BOOTTIME, it returns the time of the system clock, whose
// differences are monotonic.
func (c bootClock) Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return c.Clock.Now()
	}
	return time.Unix(0, spec.Nano())
}
