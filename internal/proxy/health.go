package proxy

import (
	"sync"
	"time"

	"egretramp/internal/balance"
	"egretramp/internal/registry"
)

const (
	// failingTime is for how long an upstream is avoided after failures in a row, growing with
	// their number up to maxFailingTime.
	failingTime    = 300 * time.Millisecond
	maxFailingTime = 3 * time.Second
	// latencyWeight is the weight of the newest sample in the moving averages.
	latencyWeight = 0.2
	// defaultUsual stands for a service's usual time before there is a sample.
	defaultUsual = 30 * time.Millisecond
	// paceWeight is the weight of the newest event; events come many times a second.
	paceWeight = 0.15
	// paceDrift lets the pace of idle upstreams grow with each event, so that one that was
	// measured too low is corrected in time.
	paceDrift = 1.0005
	// minPace bounds the pace from below: events that were sent together say nothing.
	minPace = 3 * time.Millisecond
	// paceAge is how long a slow pace is remembered without new events.
	paceAge = 600 * time.Millisecond
	// usualEvents is the number of events that a turn is taken to have when upstreams are compared.
	usualEvents = 6
	// slownessAge is how long a slow upstream is remembered without new samples, so that it is
	// tried again.
	slownessAge = 2 * time.Second
)

// health holds what this VM saw of the upstreams. It is safe for concurrent use.
type health struct {
	mu        sync.Mutex
	upstreams map[string]*record
	services  map[string]time.Duration // moving average of the time to the answer
	paces     map[string]time.Duration // time between events on idle upstreams
}

type record struct {
	inflight int
	pace     time.Duration // moving average of the time between events, 0 without samples
	paced    time.Time
	latency  time.Duration // moving average, 0 without samples
	sampled  time.Time
	failures int // in a row
	until    time.Time
	service  string
}

func newHealth() *health {
	return &health{upstreams: map[string]*record{}, services: map[string]time.Duration{}, paces: map[string]time.Duration{}}
}

func (h *health) record(id string) *record {
	r := h.upstreams[id]
	if r == nil {
		r = &record{}
		h.upstreams[id] = r
	}
	return r
}

func (h *health) begin(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(id).inflight++
}

func (h *health) end(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(id).inflight--
}

// succeeded notes an answer and the time to its first byte.
func (h *health) succeeded(u registry.Upstream, service string, took time.Duration, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(u.ID)
	if status >= 500 {
		r.fail()
		return
	}
	r.failures = 0
	r.until = time.Time{}
	r.latency = average(r.latency, took)
	r.sampled = time.Now()
	r.service = service
	h.services[service] = average(h.services[service], took)
}

// paced notes the time between two events of a stream, and returns how much longer it is than on
// an idle upstream.
func (h *health) paced(id, service string, gap time.Duration) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(id)
	if r.pace == 0 || time.Since(r.paced) > paceAge {
		r.pace = gap
	}
	r.pace += time.Duration(paceWeight * float64(gap-r.pace))
	r.paced = time.Now()
	ideal := time.Duration(float64(h.paces[service]) * paceDrift)
	if r.pace > minPace && (ideal == 0 || r.pace < ideal) {
		ideal = r.pace
	}
	h.paces[service] = ideal
	if ideal == 0 {
		return 1
	}
	return float64(gap) / float64(ideal)
}

// idealPace returns the time between events on idle upstreams, 0 if unknown.
func (h *health) idealPace(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paces[service]
}

func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}

func (h *health) failed(id string, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.record(id)
	if o == notRun {
		// Full for the moment: enough to look elsewhere first.
		r.until = time.Now().Add(failingTime / 3)
		return
	}
	r.fail()
}

func (r *record) fail() {
	r.failures++
	r.until = time.Now().Add(min(time.Duration(r.failures)*failingTime, maxFailingTime))
}

// candidate describes an upstream for the choice.
func (h *health) candidate(u registry.Upstream) balance.Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := balance.Candidate{ID: u.ID, Slots: u.Slots, Slowness: 1}
	r := h.upstreams[u.ID]
	if r == nil {
		return c
	}
	c.Inflight = r.inflight
	c.Failing = time.Now().Before(r.until)
	if ideal := h.paces[r.service]; ideal > 0 {
		if r.pace > 0 && time.Since(r.paced) < paceAge {
			c.Slowness = float64(r.pace) / float64(ideal)
		}
		return c
	}
	if usual := h.services[r.service]; r.latency > 0 && usual > 0 && time.Since(r.sampled) < slownessAge {
		c.Slowness = float64(r.latency) / float64(usual)
	}
	return c
}

// usual returns the usual time to the answer of a service.
func (h *health) usual(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ideal := h.paces[service]; ideal > 0 {
		return usualEvents * ideal
	}
	if usual := h.services[service]; usual > 0 {
		return usual
	}
	return defaultUsual
}

// forget drops the records of upstreams that are gone and idle.
func (h *health) forget(view *registry.View) {
	known := map[string]bool{}
	for _, list := range view.Services {
		for _, u := range list {
			known[u.ID] = true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, r := range h.upstreams {
		if !known[id] && r.inflight == 0 {
			delete(h.upstreams, id)
		}
	}
}
