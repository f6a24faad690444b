package session

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot is the time since the host started, time in which the host was
// suspended included: a lease runs on meanwhile.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}
