package intake

import (
	"math"
	"syscall"
)

// systemMemory returns the memory of the system in bytes, for daemons that are not told
// their own limit.
func systemMemory() int64 {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return math.MaxInt64
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// processDescriptors returns the limit of the process's open files.
func processDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
