// Package clock provides the clock for leases and timeouts, and timers aligned to a common grid.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot. Unlike the wall clock it never jumps, and unlike CLOCK_MONOTONIC
// it advances while the VM is suspended, so a lease that expired during a suspension is seen as
// expired at once.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
