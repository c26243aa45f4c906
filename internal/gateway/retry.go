package gateway

import "sync"

// Bounds of retries. Over any period, a VM makes at most retryRatio retries per request plus
// retryReserve. One request has at most maxAttempts attempts.
const (
	retryRatio   = 0.1
	retryReserve = 10.0
	maxAttempts  = 3
	// maxUnsent bounds the attempts of one request that were not sent. They put no load on an
	// upstream, so they do not count as retries.
	maxUnsent = 16
)

// retryBudget is a token bucket that keeps retries from multiplying the load when upstreams fail.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: retryReserve}
}

// refill adds the share of one request.
func (b *retryBudget) refill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryReserve)
}

// take consumes one retry. It returns false if none is left.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retries counts the attempts of one request.
type retries struct {
	server   *Server
	attempts int
	unsent   int
}

// newRetries returns the attempt counters of a new request and refills the retry budget.
func (s *Server) newRetries() *retries {
	s.retries.refill()
	return &retries{server: s}
}

// retryClass says whether another attempt may follow a failed one, and under which bound.
type retryClass int

const (
	noRetry     retryClass = iota
	retryUnsent            // nothing was sent to the upstream
	retrySent              // the upstream received the attempt or may have
)

// allow reports whether another attempt may be made, and counts it.
func (r *retries) allow(a retryClass) bool {
	switch a {
	case retryUnsent:
		r.unsent++
		return r.unsent < maxUnsent
	case retrySent:
		r.attempts++
		if r.attempts >= maxAttempts || !r.server.retries.take() {
			return false
		}
		r.server.stats.Retries.Add(1)
		return true
	}
	return false
}
