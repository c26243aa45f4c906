package clock

import (
	"context"
	"time"
)

// Grid is the unit that Align rounds to, and halfGrid that for waits shorter than Grid.
const (
	Grid     = 100 * time.Millisecond
	halfGrid = Grid / 2
)

// processStart is the origin of the grid. It differs between processes, so that the VMs of a fleet
// don't run their periodic work at the same moment.
var processStart = time.Now()

// Align shortens a wait so that it ends on a multiple of Grid since the process started. A wait
// shorter than Grid ends on a multiple of Grid/2, and one shorter than Grid/2 stays unchanged.
// Periodic tasks of an idle process then share wake-ups, each of which costs more than the task
// itself. A timer that is reset to the same aligned interval after each expiry neither drifts nor
// falls behind.
func Align(wait time.Duration) time.Duration {
	unit := Grid
	if wait < Grid {
		unit = halfGrid
	}
	if wait < unit {
		return wait
	}
	excess := (time.Since(processStart) + wait) % unit
	if excess < 0 {
		excess += unit // in tests, a fake clock may start before processStart
	}
	return wait - excess
}

// Repeat calls round at the end of each aligned interval until ctx ends. A call that takes longer
// than an interval delays the next one.
func Repeat(ctx context.Context, interval time.Duration, round func()) {
	timer := time.NewTimer(Align(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			begin := time.Now()
			round()
			timer.Reset(Align(max(interval-time.Since(begin), 0)))
		}
	}
}
