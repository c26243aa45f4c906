package proxy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"egretramp/internal/admission"
	"egretramp/internal/clock"
	"egretramp/internal/routing"
)

const (
	// queueFree is the time to the first event that needs no queue, beside the reading of the prompt.
	unqueuedFirstEvent = 30 * time.Millisecond
	// overloadRetryAfter is when a refused program may come back: about the time in which the
	// programs under way leave room. Its spread keeps those that were refused together apart.
	overloadRetryAfter  = 400 * time.Millisecond
	overloadRetryJitter = 400 * time.Millisecond
)

// controller returns the admission of a service. The mutex is held.
func (s *Server) controller(service string) *admission.Controller {
	c := s.admission[service]
	if c == nil {
		c = admission.New()
		s.admission[service] = c
	}
	return c
}

// observeFirst takes the time to a stream's first event. What goes beyond reading the prompt is
// spent in the upstream's queue, and counts as if the whole turn were that much slower.
func (s *Server) observeFirstEvent(service string, latency time.Duration, promptTokens int64) {
	idleGap := s.health.idleEventGap(service)
	if idleGap == 0 {
		return
	}
	queued := latency - unqueuedFirstEvent - time.Duration(promptTokens/prefillTokensPerMilli)*time.Millisecond
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	s.controller(service).Observe(clock.Now(), 1+max(0, float64(queued)/float64(typicalTurnEvents*idleGap)))
}

// observePace takes the time between two events.
func (s *Server) observeEventGap(upstream, service string, gap time.Duration) {
	slowdown := s.health.recordEventGap(upstream, service, gap)
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	s.controller(service).Observe(clock.Now(), slowdown)
}

// knows reports whether the request belongs to a program under way, or to none.
func (s *Server) isProgramActive(x *exchange) bool {
	if x.route.Kind != routing.Streaming || x.call.Program == "" {
		return true
	}
	if x.call.Line != x.call.Program || x.call.Previous != "" {
		return true // a line within a program, or a later turn
	}
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	return s.controller(x.service.Name).IsActive(x.call.Program)
}

// admits reports whether a new program may begin.
func (s *Server) admitsNewProgram(x *exchange) bool {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	return s.controller(x.service.Name).Admits(clock.Now(), x.urgencyRank())
}

// loadOf describes what an admission was decided on, for log lines.
func (s *Server) describeLoad(service string) string {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	c := s.controller(service)
	return fmt.Sprintf("turns take %.2f times as long as on idle upstreams; %d programs under way, limit %.1f",
		c.Slowdown(), c.Active(clock.Now()), c.Limit())
}

// underWay notes that the request's program is served here.
func (s *Server) markProgramActive(x *exchange) {
	if x.call.Program == "" || x.route.Kind != routing.Streaming {
		return
	}
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	s.controller(x.service.Name).MarkActive(clock.Now(), x.call.Program)
}

// rank returns how many kinds of streams of the service are more urgent.
func (x *exchange) urgencyRank() int {
	morePriorities := map[int]bool{}
	for i := range x.table.Routes {
		r := &x.table.Routes[i]
		if r.Kind != routing.Streaming || r.Priority >= x.route.Priority {
			continue
		}
		for _, target := range r.Targets {
			if target.Service == x.service.Name && target.Weight > 0 {
				morePriorities[r.Priority] = true
			}
		}
	}
	return len(morePriorities)
}

// overloadWait returns when a refused program may come back.
func (x *exchange) overloadRetryDelay() time.Duration {
	return overloadRetryAfter + time.Duration(rand.Float64()*float64(overloadRetryJitter))
}
