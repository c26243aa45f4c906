package proxy

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/balance"
	"egretramp/internal/clock"
	"egretramp/internal/registry"
)

const (
	// failureBackoff is how long an upstream is avoided for each consecutive failure, up to
	// maxFailureBackoff in total.
	failureBackoff    = 300 * time.Millisecond
	maxFailureBackoff = 3 * time.Second
	// latencyWeight is the weight of the newest sample in the moving averages.
	latencyWeight = 0.2
	// sizeWeight is the weight of the newest sample in the moving average of expected sizes.
	sizeWeight = 0.02
	// defaultLatency is a service's expected latency before there is a sample.
	defaultLatency = 30 * time.Millisecond
	// eventGapWeight is the weight of the newest gap between events in the moving average; it is
	// lower than latencyWeight because events arrive many times a second.
	eventGapWeight = 0.15
	// idleEventGapGrowth multiplies the idle event gap at each event, so that an estimate that is
	// too low is corrected over time.
	idleEventGapGrowth = 1.0005
	// minEventGap is the average gap above which a lower idle event gap is accepted: events that
	// were sent together carry no timing.
	minEventGap = 3 * time.Millisecond
	// eventGapMaxAge is how long an upstream's event gap is used without new events.
	eventGapMaxAge = 600 * time.Millisecond
	// typicalTurnEvents is the number of events assumed for a turn when upstreams are compared.
	typicalTurnEvents = 6
	// latencyMaxAge is how long an upstream's latency is used without new samples, so that a slow
	// upstream is tried again.
	latencyMaxAge = 2 * time.Second
)

// health tracks load, latency and failures of upstreams as observed by this VM. It is safe for
// concurrent use.
type health struct {
	mu            sync.Mutex
	upstreams     map[string]*upstreamStats // by upstream ID
	latencies     map[string]time.Duration  // by service; moving average of the time to the response
	idleEventGaps map[string]time.Duration  // by service; time between events on idle upstreams
	sizes         map[string]float64        // by service; moving average of the expected tokens of responses
}

// upstreamStats holds the observations of one upstream.
type upstreamStats struct {
	inflight            int
	eventGap            time.Duration // moving average of the time between events, 0 without samples
	eventGapAt          time.Time     // last sample of eventGap
	latency             time.Duration // moving average, 0 without samples
	latencyAt           time.Time     // last sample of latency
	consecutiveFailures int
	avoidUntil          time.Time // the upstream counts as failing until then
	heardAt             time.Time // last response or event
	service             string
	recent              loadCounts
}

func newHealth() *health {
	return &health{upstreams: map[string]*upstreamStats{}, latencies: map[string]time.Duration{}, idleEventGaps: map[string]time.Duration{}, sizes: map[string]float64{}}
}

// relativeSize returns the expected tokens of a response relative to the service's average, and adds them to it.
func (h *health) relativeSize(service string, tokens int64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	average, known := h.sizes[service]
	if !known {
		average = float64(tokens)
	}
	average += sizeWeight * (float64(tokens) - average)
	h.sizes[service] = average
	return float64(tokens) / average
}

// stats returns an upstream's record, creating it if needed. The mutex is held.
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
	r := h.stats(id)
	r.inflight++
	r.recent.now(clock.Now()).attempts++
}

func (h *health) requestEnded(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats(id).inflight--
}

// recordHeard records that bytes of a response were received.
func (h *health) recordHeard(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats(id).heardAt = time.Now()
}

// heardSince reports whether bytes of a response were received after t.
func (h *health) heardSince(id string, t time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.upstreams[id]
	return r != nil && r.heardAt.After(t)
}

// recordSuccess records a response and the time to its first byte. A status of 500 or above counts
// as a failure.
func (h *health) recordSuccess(u registry.Upstream, service string, latency time.Duration, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.stats(u.ID)
	if status >= 500 {
		r.addFailure()
		r.recent.now(clock.Now()).failed++
		return
	}
	r.consecutiveFailures = 0
	r.avoidUntil = time.Time{}
	r.latency = movingAverage(r.latency, latency)
	r.latencyAt = time.Now()
	r.service = service
	h.latencies[service] = movingAverage(h.latencies[service], latency)
}

// recordEventGap records the time between two events of a stream and returns its ratio to the gap
// on an idle upstream.
func (h *health) recordEventGap(id, service string, gap time.Duration) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.stats(id)
	if r.eventGap == 0 || time.Since(r.eventGapAt) > eventGapMaxAge {
		r.eventGap = gap
	}
	r.eventGap += time.Duration(eventGapWeight * float64(gap-r.eventGap))
	r.eventGapAt = time.Now()
	r.recent.now(clock.Now()).events++
	r.heardAt = r.eventGapAt
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

// idleEventGap returns the time between events on idle upstreams of a service, 0 if unknown.
func (h *health) idleEventGap(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.idleEventGaps[service]
}

// movingAverage adds a sample to an exponential moving average; 0 means that there was none.
func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}

// recordFailure records a failed attempt. One that may be due to the network between this VM and the upstream is not
// reported to the other VMs: those in the upstream's zone would leave it while this VM is partitioned from the zone.
func (h *health) recordFailure(id string, o outcome, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.stats(id)
	if o == notRun {
		// The upstream is at capacity: prefer others for a moment.
		r.avoidUntil = time.Now().Add(failureBackoff / 3)
		return
	}
	r.addFailure()
	if o == maybeRun && !errors.Is(err, errZoneUnreachable) && !errors.Is(err, errPathLost) {
		r.recent.now(clock.Now()).failed++
	}
}

func (r *upstreamStats) addFailure() {
	r.consecutiveFailures++
	r.avoidUntil = time.Now().Add(min(time.Duration(r.consecutiveFailures)*failureBackoff, maxFailureBackoff))
}

// candidate describes an upstream to the load balancer.
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

// expectedDuration returns the expected duration of a request to a service.
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

// prune removes the records of upstreams that left the directory and have no requests in flight.
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
