package proxy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"egretramp/internal/admission"
	"egretramp/internal/clock"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/sharedload"
)

const (
	// unqueuedFirstEvent is the time to the first event without queueing, excluding the prefill.
	unqueuedFirstEvent = 30 * time.Millisecond
	// overloadRetryAfter is the shortest delay before a refused program may retry: about the time in
	// which active programs free capacity. overloadRetryJitter spreads the retries of programs that
	// were refused together.
	overloadRetryAfter  = 400 * time.Millisecond
	overloadRetryJitter = 400 * time.Millisecond
)

// controller returns the admission controller of a service. admissionMu is held.
func (s *Server) controller(service string) *admission.Controller {
	c := s.admission[service]
	if c == nil {
		c = admission.New()
		s.admission[service] = c
	}
	return c
}

// observeFirstEvent records the time to a stream's first event. The part beyond the prefill of the
// prompt is time in the upstream's queue, and counts as if the whole turn were that much slower.
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

// observeEventGap records the time between two events of a stream.
func (s *Server) observeEventGap(upstream, service string, gap time.Duration) {
	slowdown := s.health.recordEventGap(upstream, service, gap)
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	s.controller(service).Observe(clock.Now(), slowdown)
}

// isProgramActive reports whether the request belongs to an active program. Requests that belong to
// no program or are no streams count as active.
func (s *Server) isProgramActive(x *exchange) bool {
	if x.route.Kind != routing.Streaming || x.call.Program == "" {
		return true
	}
	if x.call.Line != x.call.Program || x.call.Previous != "" {
		return true // another line of the program, or a later turn
	}
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	return s.controller(x.service.Name).IsActive(x.call.Program)
}

// admitsNewProgram reports whether a new program may begin: by the turns of this VM, and by the use of the upstreams by all
// VMs if that is known.
func (s *Server) admitsNewProgram(x *exchange) bool {
	fleet, known := x.fleetUse()
	overShare := known && s.opts.OverShare(x.accountName())
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	admits := s.controller(x.service.Name).Admits(clock.Now(), x.urgencyRank())
	if known {
		admits = fleet.Admits(x.urgencyRank(), overShare, !admits)
	}
	s.opts.Metrics.programDecided(known, admits)
	if !admits {
		s.accounts.MarkRefused(clock.Now(), x.accountName(), x.call.Program)
	}
	return admits
}

// fleetUse returns the use by all VMs of the service's upstreams that the request may be sent to, false if it isn't known.
// The slots of an upstream at its rate limit can't be used, and those of zones out of service are not among x.upstreams.
func (x *exchange) fleetUse() (f admission.Fleet, known bool) {
	s := x.server
	level := x.urgencyLevel()
	for _, u := range x.upstreams() {
		load, ok := s.opts.Load(u)
		if !ok || u.State != registry.Ready || !s.zones.reachable(u.Zone) {
			continue
		}
		if room := s.opts.Upstreams.UpstreamRoom(u); room.Limited && !hasRoom(room, level) {
			continue
		}
		known = true
		f.Slots += u.Slots
		f.Inflight += load.Others + s.health.inflight(u.ID)
		x.useAge = load.Age
	}
	return f, known
}

// AccountLoads returns the client accounts with programs on this VM.
func (s *Server) AccountLoads() []sharedload.Account {
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	counts := s.accounts.Counts(clock.Now())
	loads := make([]sharedload.Account, len(counts))
	for i, c := range counts {
		loads[i] = sharedload.Account{Name: c.Name, Active: c.Active, Refused: c.Refused}
	}
	return loads
}

// describeLoad describes the load on which an admission decision was based, for log lines.
func (x *exchange) describeLoad() string {
	s := x.server
	if f, known := x.fleetUse(); known {
		return fmt.Sprintf("%d requests of all VMs at %d slots, %v ago; the account has more than its share: %t",
			f.Inflight, f.Slots, x.useAge.Round(time.Millisecond), s.opts.OverShare(x.accountName()))
	}
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	c := s.controller(x.service.Name)
	return fmt.Sprintf("turns take %.2f times as long as on idle upstreams; %d programs under way, limit %.1f",
		c.Slowdown(), c.Active(clock.Now()), c.Limit())
}

// markProgramActive records that this VM serves the request's program.
func (s *Server) markProgramActive(x *exchange) {
	if x.call.Program == "" || x.route.Kind != routing.Streaming {
		return
	}
	s.admissionMu.Lock()
	defer s.admissionMu.Unlock()
	s.controller(x.service.Name).MarkActive(clock.Now(), x.call.Program)
	s.accounts.MarkActive(clock.Now(), x.accountName(), x.call.Program)
}

// urgencyRank returns how many priorities of streams to the service are more urgent than this one.
func (x *exchange) urgencyRank() int {
	moreUrgent := map[int]bool{}
	for i := range x.table.Routes {
		r := &x.table.Routes[i]
		if r.Kind != routing.Streaming || r.Priority >= x.route.Priority {
			continue
		}
		for _, target := range r.Targets {
			if target.Service == x.service.Name && target.Weight > 0 {
				moreUrgent[r.Priority] = true
			}
		}
	}
	return len(moreUrgent)
}

// overloadRetryDelay returns the delay, with jitter, after which a refused program may retry.
func (x *exchange) overloadRetryDelay() time.Duration {
	return overloadRetryAfter + time.Duration(rand.Float64()*float64(overloadRetryJitter))
}
