package chivedaemon

import (
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// The heap is collected more often once the process uses heapLimitNumerator of heapLimitDenominator
// parts of its memory limit; the rest is for what the runtime does not count.
const heapLimitNumerator, heapLimitDenominator = 3, 4

// LimitHeap makes the runtime keep to a limit on the memory of the process in bytes. It does nothing if
// the limit is 0.
func LimitHeap(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(limit / heapLimitDenominator * heapLimitNumerator)
	}
}

// bytesPerMB is the number of bytes in a MB of settings.
const bytesPerMB = 1e6

// MemoryLimit returns the memory that the process may use in bytes: that of its settings in MB, or if
// that is 0 all of the machine's, or 0 if that is not known.
func MemoryLimit(statedMB int) int64 {
	if statedMB > 0 {
		return int64(statedMB) * bytesPerMB
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
