package gateway

import (
	"context"
	"time"
)

const (
	// drainMargin is the time that a queued call which got no upstream needs to settle its turn and
	// answer its caller before the process ends.
	drainMargin = revokeTimeout + 500*time.Millisecond
	// maxMarginShare bounds the margin as a fraction of a short shutdown limit.
	maxMarginShare = 1.0 / 3
	// drainingQueueWait is how long a call may wait for an upstream once the margin has begun:
	// enough to be granted a free one.
	drainingQueueWait = 250 * time.Millisecond
)

// Drain makes the server close callers' connections after their requests; requests are still served.
// limit is the time until the process ends: calls that still wait for an upstream shortly before
// then are refused as not run, rather than aborted.
func (s *Server) Drain(limit time.Duration) {
	s.draining.Store(true)
	margin := min(drainMargin, time.Duration(maxMarginShare*float64(limit)))
	time.AfterFunc(limit-margin, s.endQueueing)
}

// withQueueTimeout returns a context that bounds a wait for an upstream by maxQueueWait and by the
// end of the process.
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
