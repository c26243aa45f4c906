package gateway

import (
	"context"
	"time"
)

const (
	// drainMargin is what a call that waited for an upstream in vain needs to settle its turn and
	// answer its caller before the process ends.
	drainMargin = revokeTimeout + 500*time.Millisecond
	// drainShare bounds the margin as a part of a short shutdown limit.
	drainShare = 1.0 / 3
	// lateWait is what a call may wait after that: enough for an upstream that is free.
	lateWait = 250 * time.Millisecond
)

// Drain makes the server ask callers to close their connections; requests are still served. limit
// is the time until the process ends: calls that still wait for an upstream shortly before it are
// refused as not run, rather than cut off.
func (s *Server) Drain(limit time.Duration) {
	s.draining.Store(true)
	margin := min(drainMargin, time.Duration(drainShare*float64(limit)))
	time.AfterFunc(limit-margin, s.endWaits)
}

// awaiting bounds a wait for an upstream by maxQueueWait and by the end of the process.
func (s *Server) awaiting(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.waits.Err() != nil {
		return context.WithTimeout(ctx, lateWait)
	}
	ctx, cancel := context.WithTimeout(ctx, maxQueueWait)
	stop := context.AfterFunc(s.waits, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
