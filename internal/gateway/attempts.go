package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"egretramp/internal/clock"
	"egretramp/internal/program"
)

// attempts is this VM's list of attempts under way. Request goroutines and lease renewal use it concurrently.
type attempts struct {
	mu   sync.Mutex
	list *program.Attempts
	byID map[string]*activeAttempt
}

// activeAttempt is an attempt whose call this VM is running.
type activeAttempt struct {
	startedAt time.Duration // start of the call, since boot
	stop      context.CancelCauseFunc
	written   bool // whether bytes were written to an upstream or are about to be
}

func newAttempts() *attempts {
	return &attempts{
		list: program.NewAttempts(program.DefaultLimits().Lease, program.RenewEvery),
		byID: map[string]*activeAttempt{},
	}
}

func (a *attempts) add(id string, proposedAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.Add(id, proposedAt)
}

// bind registers the function that cancels an attempt's call; it is called with errAttemptLost or
// errRecordUnavailable as the cause.
func (a *attempts) bind(id string, startedAt time.Duration, stop context.CancelCauseFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = &activeAttempt{startedAt: startedAt, stop: stop}
}

// markWaiting marks an attempt as waiting for an upstream: nothing is written until mayWrite returns true.
func (a *attempts) markWaiting(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if own, ok := a.byID[id]; ok {
		own.written = false
	}
}

// mayWrite reports whether an attempt's bytes may be written now. If so, it marks the attempt as written.
func (a *attempts) mayWrite(id string, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.list.MayWrite(id, now) {
		return false
	}
	if own, ok := a.byID[id]; ok {
		own.written = true
	}
	return true
}

// stopUnwritten stops the calls of which nothing was written and whose record is unavailable.
func (a *attempts) stopUnwritten(recordUnavailable func(home program.Home, startedAt time.Duration) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, own := range a.byID {
		if !own.written && recordUnavailable(program.HomeOfAttempt(id), own.startedAt) {
			own.stop(errRecordUnavailable)
		}
	}
}

func (a *attempts) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.Remove(id)
	delete(a.byID, id)
}

func (a *attempts) due(now time.Duration) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list.Due(now)
}

func (a *attempts) renewed(ids []string, sentAt time.Duration, lost []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop(a.list.Renewed(ids, sentAt, lost))
}

// stopExpired stops the calls of attempts whose leases could not be renewed in time.
func (a *attempts) stopExpired(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop(a.list.Lapsed(now))
}

func (a *attempts) stop(ids []string) {
	for _, id := range ids {
		if own, ok := a.byID[id]; ok {
			own.stop(errAttemptLost)
		}
	}
}

const (
	checkInterval = 500 * time.Millisecond
	renewTimeout  = 2 * time.Second
)

// Wait blocks until the background work has ended: abandoned turns are settled unless the record is
// unavailable, and cancelled calls are acknowledged unless their engines do not answer.
func (s *Server) Wait() { s.background.Wait() }

// Run renews the leases of the attempts under way and stops the calls that can no longer be
// recorded, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { clock.Repeat(ctx, checkInterval, func() { s.renewDue(ctx) }) })
	// Separate from the renewal, which blocks while the group does not answer.
	clock.Repeat(ctx, checkInterval, func() {
		s.attempts.stopExpired(s.opts.Clock())
		s.checkOutage()
	})
}

func (s *Server) renewDue(ctx context.Context) {
	sentAt := s.opts.Clock()
	ids := s.attempts.due(sentAt)
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	renewed, lost := s.opts.Ledger.Renew(ctx, ids)
	s.attempts.renewed(renewed, sentAt, lost)
}
