package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/program"
)

// Bounds of what a caller waits for the record of programs.
const (
	// maxRecordWait bounds the waits of all steps of one call together. It also is how long a
	// group may leave this VM without an answer before no call waits for it any more. A group
	// elects a new leader within it, also after a silent partition.
	maxRecordWait = 3 * time.Second
	// minRecordWait is what a step gets once nothing is left of that: the group is asked once.
	minRecordWait = 500 * time.Millisecond
	// shortCallAge is the age up to which a call is refused within 6 s of its start, whatever time
	// its upstream took. An older one waits for a new leader rather than lose its answer.
	shortCallAge = 6*time.Second - minRecordWait
	// beginTimeout bounds the wait for the begin of a turn, and leaves some time to record the answer.
	beginTimeout = 2500 * time.Millisecond
	// revokeTimeout bounds the wait for what may be said of a call of which nothing was written.
	revokeTimeout = 2 * time.Second
	// settleTimeout bounds the settling of a turn for which no caller waits.
	settleTimeout = 4 * time.Second
)

var errRecordUnavailable = errors.New("the record of programs gives no answer")

// recordBudget is what one call may wait for the record. One goroutine uses it.
type waitBudget struct {
	server    *Server
	home      program.Home
	startedAt time.Duration // the call, on the clock since boot
	waited    time.Duration
}

func (s *Server) newWaitBudget(home program.Home) *waitBudget {
	return &waitBudget{server: s, home: home, startedAt: s.opts.Clock()}
}

// step bounds one step's wait. done must be called at its end.
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

// checkOutage ends the calls that wait for an upstream while no call may wait for the record any
// more: their answers could not be recorded. One that has waited for long already is ended as soon as
// its record gives no answer: all its waits together are to stay below the limit.
func (s *Server) checkOutage() {
	now := s.opts.Clock()
	s.attempts.stopUnwritten(func(home program.Home, startedAt time.Duration) bool {
		outage := s.opts.Ledger.Outage(home)
		return outage >= maxRecordWait || outage >= minRecordWait && now-startedAt >= shortCallAge
	})
}
