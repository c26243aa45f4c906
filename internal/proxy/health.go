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
	failureBackoff    = 300 * time.Millisecond
	maxFailureBackoff = 3 * time.Second
	// latencyWeight is the weight of the newest sample in the moving averages.
	latencyWeight = 0.2
	// defaultUsual stands for a service's usual time before there is a sample.
	defaultLatency = 30 * time.Millisecond
	// paceWeight is the weight of the newest event; events come many times a second.
	eventGapWeight = 0.15
	// paceDrift lets the pace of idle upstreams grow with each event, so that one that was
	// measured too low is corrected in time.
	idleEventGapGrowth = 1.0005
	// minPace bounds the pace from below: events that were sent together say nothing.
	minEventGap = 3 * time.Millisecond
	// paceAge is how long a slow pace is remembered without new events.
	eventGapMaxAge = 600 * time.Millisecond
	// usualEvents is the number of events that a turn is taken to have when upstreams are compared.
	typicalTurnEvents = 6
	// slownessAge is how long a slow upstream is remembered without new samples, so that it is
	// tried again.
	latencyMaxAge = 2 * time.Second
)

// health holds what this VM saw of the upstreams. It is safe for concurrent use.
type health struct {
	mu            sync.Mutex
	upstreams     map[string]*upstreamStats
	latencies     map[string]time.Duration // moving average of the time to the answer
	idleEventGaps map[string]time.Duration // time between events on idle upstreams
}

type upstreamStats struct {
	inflight            int
	eventGap            time.Duration // moving average of the time between events, 0 without samples
	eventGapAt          time.Time
	latency             time.Duration // moving average, 0 without samples
	latencyAt           time.Time
	consecutiveFailures int // in a row
	avoidUntil          time.Time
	service             string
}

func newHealth() *health {
	return &health{upstreams: map[string]*upstreamStats{}, latencies: map[string]time.Duration{}, idleEventGaps: map[string]time.Duration{}}
}

func (h *health) stats(id string) *upstreamStats {
	r := h.upstreams[id]
	if r == nil {
		r = &upstreamStats{}
		h.upstreams[id] = r
	}
	return r
}

func (h *health) requestStarted(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats(id).inflight++
}

func (h *health) requestEnded(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats(id).inflight--
}

// succeeded notes an answer and the time to its first byte.
func (h *health) recordSuccess(u registry.Upstream, service string, latency time.Duration, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.stats(u.ID)
	if status >= 500 {
		r.addFailure()
		return
	}
	r.consecutiveFailures = 0
	r.avoidUntil = time.Time{}
	r.latency = movingAverage(r.latency, latency)
	r.latencyAt = time.Now()
	r.service = service
	h.latencies[service] = movingAverage(h.latencies[service], latency)
}

// paced notes the time between two events of a stream, and returns how much longer it is than on
// an idle upstream.
func (h *health) recordEventGap(id, service string, gap time.Duration) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.stats(id)
	if r.eventGap == 0 || time.Since(r.eventGapAt) > eventGapMaxAge {
		r.eventGap = gap
	}
	r.eventGap += time.Duration(eventGapWeight * float64(gap-r.eventGap))
	r.eventGapAt = time.Now()
	idleGap := time.Duration(float64(h.idleEventGaps[service]) * idleEventGapGrowth)
	if r.eventGap > minEventGap && (idleGap == 0 || r.eventGap < idleGap) {
		idleGap = r.eventGap
	}
	h.idleEventGaps[service] = idleGap
	if idleGap == 0 {
		return 1
	}
	return float64(gap) / float64(idleGap)
}

// idealPace returns the time between events on idle upstreams, 0 if unknown.
func (h *health) idleEventGap(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.idleEventGaps[service]
}

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}

func (h *health) recordFailure(id string, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.stats(id)
	if o == notRun {
		// Full for the moment: enough to look elsewhere first.
		r.avoidUntil = time.Now().Add(failureBackoff / 3)
		return
	}
	r.addFailure()
}

func (r *upstreamStats) addFailure() {
	r.consecutiveFailures++
	r.avoidUntil = time.Now().Add(min(time.Duration(r.consecutiveFailures)*failureBackoff, maxFailureBackoff))
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
	c.Failing = time.Now().Before(r.avoidUntil)
	if idleGap := h.idleEventGaps[r.service]; idleGap > 0 {
		if r.eventGap > 0 && time.Since(r.eventGapAt) < eventGapMaxAge {
			c.Slowness = float64(r.eventGap) / float64(idleGap)
		}
		return c
	}
	if serviceLatency := h.latencies[r.service]; r.latency > 0 && serviceLatency > 0 && time.Since(r.latencyAt) < latencyMaxAge {
		c.Slowness = float64(r.latency) / float64(serviceLatency)
	}
	return c
}

// usual returns the usual time to the answer of a service.
func (h *health) expectedDuration(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if idleGap := h.idleEventGaps[service]; idleGap > 0 {
		return typicalTurnEvents * idleGap
	}
	if latency := h.latencies[service]; latency > 0 {
		return latency
	}
	return defaultLatency
}

// forget drops the records of upstreams that are gone and idle.
func (h *health) prune(view *registry.View) {
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
