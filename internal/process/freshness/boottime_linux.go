package freshness

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime returns the time since the VM was started, including the time for which it was suspended. It reports false if the clock
// cannot be read.
func Boottime() (Moment, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
