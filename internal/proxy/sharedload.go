package proxy

import (
	"time"

	"egretramp/internal/balance"
	"egretramp/internal/clock"
	"egretramp/internal/registry"
	"egretramp/internal/routing"
	"egretramp/internal/sharedload"
)

const (
	// loadWindow is half the time over which recent attempts are counted.
	loadWindow = 500 * time.Millisecond
	// laterTurns is the number of turns of a program that are expected to follow a turn to the other zone, since its home
	// moves there. Programs have 3 to 11 turns, so about 4 follow on average.
	laterTurns = 4
	// zoneRoundTrip is the network's round trip to another zone.
	zoneRoundTrip = time.Millisecond
	// defaultZoneMegabyteCost is the default of Options.ZoneMegabyteCost: about as long as a megabyte occupies the link of a
	// VM with 20 to 30 Mbit/s, which the requests of its other callers share.
	defaultZoneMegabyteCost = 400 * time.Millisecond
	// answerBytes is about the size of an event with its framing, and of the head of an answer.
	answerBytes = 100
)

// loadCounts counts attempts and events of the last second, in two halves.
type loadCounts struct {
	current, previous loadCount
	since             time.Duration // start of current
}

type loadCount struct{ attempts, failed, events int }

// now returns the counts to add to.
func (l *loadCounts) now(now time.Duration) *loadCount {
	switch age := now - l.since; {
	case age >= 2*loadWindow:
		l.previous, l.current, l.since = loadCount{}, loadCount{}, now
	case age >= loadWindow:
		l.previous, l.current, l.since = l.current, loadCount{}, now
	}
	return &l.current
}

// sum returns the counts of the last second.
func (l *loadCounts) sum(now time.Duration) loadCount {
	c := l.now(now)
	return loadCount{c.attempts + l.previous.attempts, c.failed + l.previous.failed, c.events + l.previous.events}
}

// LoadSamples returns what this VM's requests say of the upstreams that it uses.
func (s *Server) LoadSamples() []sharedload.Sample {
	return s.health.samples(clock.Now(), s.opts.Directory.View())
}

// inflight returns the number of this VM's requests in flight to an upstream.
func (h *health) inflight(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.upstreams[id]; r != nil {
		return r.inflight
	}
	return 0
}

func (h *health) samples(now time.Duration, view *registry.View) []sharedload.Sample {
	h.mu.Lock()
	defer h.mu.Unlock()
	var samples []sharedload.Sample
	for _, list := range view.Services {
		for i := range list {
			r := h.upstreams[list[i].ID]
			if r == nil {
				continue
			}
			recent := r.recent.sum(now)
			if r.inflight == 0 && recent == (loadCount{}) {
				continue
			}
			sample := sharedload.Sample{Process: list[i].Process(), Inflight: r.inflight, Attempts: recent.attempts, Failed: recent.failed}
			if idleGap := h.idleEventGaps[r.service]; idleGap > 0 && recent.events > 0 {
				sample.Slowdown, sample.Samples = float64(r.eventGap)/float64(idleGap), recent.events
			}
			samples = append(samples, sample)
		}
	}
	return samples
}

// addFleetLoad adds the load that all VMs cause to the candidates, if it is known.
func (x *exchange) addFleetLoad(upstreams []registry.Upstream, candidates []balance.Candidate, r *balance.Request) {
	s := x.server
	known := false
	for i, u := range upstreams {
		load, ok := s.opts.Load(u)
		if !ok {
			continue
		}
		known = true
		candidates[i].Zone = u.Zone
		candidates[i].Fleet = balance.FleetLoad{
			Known: true, Others: load.Others, Age: load.Age, Slowness: load.Slowdown, FailureShare: load.FailureShare,
		}
	}
	x.loadAge = -1
	if !known {
		return
	}
	for i, u := range upstreams {
		candidates[i].Zone = u.Zone
		if candidates[i].Fleet.Known {
			x.loadAge = max(x.loadAge, candidates[i].Fleet.Age)
		}
	}
	for _, o := range s.opts.LoadOrigins() {
		r.Origins = append(r.Origins, balance.Origin{Zone: o.Zone, PerSecond: float64(o.PerSecond)})
	}
	r.Zone = s.opts.Zone
	bytes := len(x.body) + answerBytes*(1+x.expectedEvents())
	r.LeaveZone = balance.LeaveZoneCost(zoneRoundTrip, bytes, max(s.opts.ZoneMegabyteCost, 0), x.turnsAhead())
}

// expectedEvents returns the expected number of events of the answer.
func (x *exchange) expectedEvents() int {
	if x.route == nil || x.route.Kind != routing.Streaming {
		return 0
	}
	if x.call.ExpectedTokens == 0 || x.service == nil || x.service.Engine == nil {
		return typicalTurnEvents
	}
	return int(x.call.ExpectedTokens) / max(x.service.Engine.TokensPerEvent, 1)
}

// turnsAhead returns the number of requests that will go to the upstream that this one is sent to, itself included.
func (x *exchange) turnsAhead() int {
	if x.call.Program == "" {
		return 1
	}
	return 1 + laterTurns
}
