package peer

import (
	"context"
	"sync/atomic"
	"time"
)

// started is what signs of life are measured from, so that a step of the wall clock moves none.
var started = time.Now()

// signOfLife is when the other side of a stream was heard last. Noting one wakes no goroutine:
// the watcher looks only when the limit would be over.
type signOfLife struct {
	at atomic.Int64 // nanoseconds since started
}

func (s *signOfLife) note() { s.at.Store(int64(time.Since(started))) }

func (s *signOfLife) age() time.Duration {
	return time.Since(started) - time.Duration(s.at.Load())
}

// left is how long the other side may go on being silent.
func (s *signOfLife) left() time.Duration { return SilenceLimit - s.age() }

// awaitSilence returns once the other side was silent for SilenceLimit, or when ctx ends.
func (s *signOfLife) awaitSilence(ctx context.Context) {
	timer := time.NewTimer(SilenceLimit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		left := s.left()
		if left <= 0 {
			return
		}
		timer.Reset(left)
	}
}
