package clock

import (
	"context"
	"time"
)

// Grid is the unit of Align, halfGrid that of waits shorter than Grid.
const (
	Grid     = 100 * time.Millisecond
	halfGrid = Grid / 2
)

// processStart is the origin of the grid. Each process has its own, so that the VMs of a fleet don't
// act at the same moment.
var processStart = time.Now()

// Align shortens a wait so that it ends on a multiple of Grid since the process started, one
// shorter than Grid on a multiple of half of it; a still shorter one is left as it is. The
// repeated work of a process at rest then shares its wake-ups: each costs more than the work. Set
// again at each end with the same interval, it neither drifts nor is late.
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
		excess += unit // a test's clock may be set before the process started
	}
	return wait - excess
}

// Repeat does a round at the end of each interval, aligned, until ctx ends. A round that takes
// longer than an interval delays the next.
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
