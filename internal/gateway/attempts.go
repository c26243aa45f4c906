package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"egretramp/internal/clock"
	"egretramp/internal/program"
)

// attempts shares the list of this VM's attempts between traffic goroutines and renews their leases.
type attempts struct {
	mu   sync.Mutex
	list *program.Attempts
	byID map[string]*activeAttempt
}

// activeAttempt is an attempt whose call is under way here.
type activeAttempt struct {
	startedAt time.Duration // the call, on the clock since boot
	stop      context.CancelCauseFunc
	written   bool // towards an upstream, or about to be
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

// bind sets what stops the call of an attempt; the cause is errAttemptLost or errRecordUnavailable.
func (a *attempts) bind(id string, startedAt time.Duration, stop context.CancelCauseFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = &activeAttempt{startedAt: startedAt, stop: stop}
}

// await notes that an attempt waits for an upstream: nothing is written until mayWrite.
func (a *attempts) markWaiting(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if own, ok := a.byID[id]; ok {
		own.written = false
	}
}

// mayWrite reports whether an attempt's bytes may be written now, and takes it for written if so.
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

// stopUnwritten stops the calls of which nothing was written and whose record is out.
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

// stopLapsed stops the calls of attempts whose leases could not be renewed in time.
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

// Wait returns once the turns that were given up are settled, as far as the record could be reached,
// and the cancelled calls are acknowledged, as far as their engines answer.
func (s *Server) Wait() { s.background.Wait() }

// Run renews the leases of the attempts under way, and stops the calls that cannot be recorded
// any more, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { clock.Repeat(ctx, checkInterval, func() { s.renewDue(ctx) }) })
	// Apart from the renewal, which waits while the group gives no answer.
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
