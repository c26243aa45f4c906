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
	maxMarginShare = 1.0 / 3
	// lateWait is what a call may wait after that: enough for an upstream that is free.
	drainingQueueWait = 250 * time.Millisecond
)

// Drain makes the server ask callers to close their connections; requests are still served. limit
// is the time until the process ends: calls that still wait for an upstream shortly before it are
// refused as not run, rather than cut off.
func (s *Server) Drain(limit time.Duration) {
	s.draining.Store(true)
	margin := min(drainMargin, time.Duration(maxMarginShare*float64(limit)))
	time.AfterFunc(limit-margin, s.endQueueing)
}

// awaiting bounds a wait for an upstream by maxQueueWait and by the end of the process.
func (s *Server) withQueueTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if s.queueContext.Err() != nil {
		return context.WithTimeout(ctx, drainingQueueWait)
	}
	ctx, cancel := context.WithTimeout(ctx, maxQueueWait)
	stop := context.AfterFunc(s.queueContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
