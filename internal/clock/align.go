package clock

import "time"

// Grid is the unit of Align.
const Grid = 50 * time.Millisecond

// started is the origin of the grid. Each process has its own, so that the VMs of a fleet don't
// act at the same moment.
var started = time.Now()

// Align shortens a wait of at least Grid so that it ends on a multiple of Grid since the process
// started. The repeated work of a process at rest then shares its wake-ups: each costs more than
// the work. Set again at each end with the same interval, it neither drifts nor is late.
func Align(wait time.Duration) time.Duration {
	if wait < Grid {
		return wait
	}
	beyond := (time.Since(started) + wait) % Grid
	if beyond < 0 {
		beyond += Grid // a test's clock may be set before the process started
	}
	return wait - beyond
}
