package peer

import (
	"context"
	"sync/atomic"
	"time"
)

// started is what signs of life are measured from, so that a step of the wall clock moves none.
var baseTime = time.Now()

// signOfLife is when the other side of a stream was heard last. Noting one wakes no goroutine:
// the watcher looks only when the limit would be over.
type livenessMonitor struct {
	lastContact atomic.Int64 // nanoseconds since started
}

func (s *livenessMonitor) touch() { s.lastContact.Store(int64(time.Since(baseTime))) }

func (s *livenessMonitor) age() time.Duration {
	return time.Since(baseTime) - time.Duration(s.lastContact.Load())
}

// left is how long the other side may go on being silent.
func (s *livenessMonitor) remaining() time.Duration { return HeartbeatTimeout - s.age() }

// awaitSilence returns once the other side was silent for SilenceLimit, or when ctx ends.
func (s *livenessMonitor) awaitTimeout(ctx context.Context) {
	timer := time.NewTimer(HeartbeatTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		left := s.remaining()
		if left <= 0 {
			return
		}
		timer.Reset(left)
	}
}
