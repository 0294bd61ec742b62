package lhsock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the system started. It also counts while the system is
// suspended. Where the clock can't be read, it returns the time of day.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
