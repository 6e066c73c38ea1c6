// Package boottime reads a clock that also counts the time in which the host
// was suspended. The steady clock of the runtime does not, so that a host that
// wakes up would take its old knowledge for fresh.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was started.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that Go supports has this clock; without it, knowledge
		// must not count as fresh.
		panic(err)
	}
	return time.Duration(t.Nano())
}
