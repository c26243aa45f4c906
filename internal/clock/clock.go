// Package clock reads the clock that leases and timeouts are measured on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot. It never jumps and, unlike the wall clock and
// CLOCK_MONOTONIC, goes on while the VM is suspended, so a lease that ran out during a
// suspension is seen as expired at once.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
