package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/program"
)

// Bounds of the time that a caller waits for the record of programs.
const (
	// maxRecordWait bounds the total wait of all steps of one call. It is also how long a group may
	// fail to answer this VM before calls no longer wait for it. A group elects a new leader within
	// this time, also after a partition that drops packets silently.
	maxRecordWait = 3 * time.Second
	// minRecordWait is the timeout of a step once maxRecordWait is used up: enough for one request
	// to the group.
	minRecordWait = 500 * time.Millisecond
	// shortCallAge is the age up to which a call is refused within 6 s of its start, however long
	// its upstream took. An older call waits for a new leader rather than lose its answer.
	shortCallAge = 6*time.Second - minRecordWait
	// beginTimeout bounds the wait for a turn to begin. It is below maxRecordWait to leave time to
	// record the answer.
	beginTimeout = 2500 * time.Millisecond
	// revokeTimeout bounds the wait for revoking an attempt of which nothing was written, or for
	// settling one that may have run before the next begins.
	revokeTimeout = 2 * time.Second
	// settleTimeout bounds the settling of a turn in the background, while no caller waits.
	settleTimeout = 4 * time.Second
)

var errRecordUnavailable = errors.New("the record of programs gives no answer")

// waitBudget bounds the total time that one call waits for the record. It is not safe for concurrent
// use.
type waitBudget struct {
	server    *Server
	home      program.Home
	startedAt time.Duration // start of the call, since boot
	waited    time.Duration
}

func (s *Server) newWaitBudget(home program.Home) *waitBudget {
	return &waitBudget{server: s, home: home, startedAt: s.opts.Clock()}
}

// step returns a context that bounds one step's wait. done must be called at the end of the step.
func (b *waitBudget) step(ctx context.Context, limit time.Duration) (_ context.Context, done func()) {
	startedAt := b.server.opts.Clock()
	ctx, cancel := context.WithTimeout(ctx, min(limit, b.remaining()))
	return ctx, func() {
		cancel()
		b.waited += b.server.opts.Clock() - startedAt
	}
}

func (b *waitBudget) remaining() time.Duration {
	remaining := maxRecordWait - max(b.waited, b.server.opts.Ledger.Outage(b.home))
	if age := b.server.opts.Clock() - b.startedAt; age <= shortCallAge {
		remaining = min(remaining, shortCallAge-age)
	}
	return max(remaining, minRecordWait)
}

// checkOutage stops the calls that wait for an upstream while their record has been unavailable for
// maxRecordWait, because their answers could not be recorded. A call older than shortCallAge is
// stopped after an outage of minRecordWait, so that the sum of its waits stays below the limit.
func (s *Server) checkOutage() {
	now := s.opts.Clock()
	s.attempts.stopUnwritten(func(home program.Home, startedAt time.Duration) bool {
		outage := s.opts.Ledger.Outage(home)
		return outage >= maxRecordWait || outage >= minRecordWait && now-startedAt >= shortCallAge
	})
}
