package tlorder

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time of a clock that includes the time during which the
// host was suspended; only differences between its values are meaningful.
func BootTime() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
