// Package boottime reads the clock that advances while a host is suspended. Leases and
// records read from the store age during suspension, but the monotonic clock of time.Now
// does not advance then.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including time in suspension.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// Since returns the time elapsed since earlier, a value of Now.
func Since(earlier time.Duration) time.Duration { return Now() - earlier }
