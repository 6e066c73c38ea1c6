// Package boottime reads a monotonic clock that also advances while the host is
// suspended. The monotonic clock of the Go runtime stops during a suspension, so
// a host that resumes would take outdated information for recent.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted, including suspensions.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that Go supports has this clock. Without it, outdated
		// information could not be told from recent information.
		panic(err)
	}
	return time.Duration(t.Nano())
}
