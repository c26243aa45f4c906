package peer

import (
	"context"
	"sync/atomic"
	"time"
)

// baseTime is the reference for contact times. Durations since it use the monotonic clock, so steps
// of the wall clock do not affect them.
var baseTime = time.Now()

// livenessMonitor records when the other side of a stream last sent something. touch wakes no
// goroutine: the watcher checks again only when the timeout would expire.
type livenessMonitor struct {
	lastContact atomic.Int64 // nanoseconds since baseTime
}

// touch records that something was received now.
func (m *livenessMonitor) touch() { m.lastContact.Store(int64(time.Since(baseTime))) }

// age returns the time since the last touch.
func (m *livenessMonitor) age() time.Duration {
	return time.Since(baseTime) - time.Duration(m.lastContact.Load())
}

// remaining returns the time until a timeout expires; zero or less if it has expired.
func (m *livenessMonitor) remaining(timeout time.Duration) time.Duration { return timeout - m.age() }

// awaitTimeout returns when nothing was received for HeartbeatTimeout, or when ctx ends.
func (m *livenessMonitor) awaitTimeout(ctx context.Context) {
	timer := time.NewTimer(HeartbeatTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		left := m.remaining(HeartbeatTimeout)
		if left <= 0 {
			return
		}
		timer.Reset(left)
	}
}
