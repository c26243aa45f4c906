package gateway

import (
	"context"
	"sync"
	"time"

	"egretramp/internal/program"
)

// attempts shares the list of this VM's attempts between traffic goroutines and renews their leases.
type attempts struct {
	mu   sync.Mutex
	list *program.Attempts
	lost map[string]func()
}

func newAttempts() *attempts {
	return &attempts{
		list: program.NewAttempts(program.DefaultLimits().Lease, program.RenewEvery),
		lost: map[string]func(){},
	}
}

func (a *attempts) add(id string, proposed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.Add(id, proposed)
}

// onLost sets what is called when an attempt's lease is lost.
func (a *attempts) onLost(id string, stop func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lost[id] = stop
}

func (a *attempts) mayWrite(id string, now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list.MayWrite(id, now)
}

func (a *attempts) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list.Remove(id)
	delete(a.lost, id)
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
func (a *attempts) stopLapsed(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop(a.list.Lapsed(now))
}

func (a *attempts) stop(ids []string) {
	for _, id := range ids {
		if stop, ok := a.lost[id]; ok {
			stop()
		}
	}
}

const (
	renewCheck   = 500 * time.Millisecond
	renewTimeout = 2 * time.Second
)

// Wait returns once the turns that were given up are settled, as far as the record could be reached.
func (s *Server) Wait() { s.background.Wait() }

// Run renews the leases of the attempts under way until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(renewCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.renewDue(ctx)
			s.attempts.stopLapsed(s.opts.Clock())
		}
	}
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
