// Package boottime reads the clock that goes on while a host is suspended. A
// lease, or a word of the store, ages in that time too, which the clock behind
// time.Now does not count.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since the host started, time in suspension included.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// Since is how long ago an earlier Now was.
func Since(earlier time.Duration) time.Duration { return Now() - earlier }
