package gateway

import "sync"

// Bounds of retries: over any period a VM retries at most retryRatio of its requests, plus
// retryReserve; one request has at most maxAttempts attempts.
const (
	retryRatio   = 0.1
	retryReserve = 10.0
	maxAttempts  = 3
	// maxUnsent bounds the attempts whose upstream could not be connected to. They load no
	// upstream, so they do not count as retries.
	maxUnsent = 16
)

// retryBudget keeps retries from multiplying the load when upstreams fail.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: retryReserve}
}

// earn adds a request's part.
func (b *retryBudget) refill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryReserve)
}

// take takes one retry; false if there is none left.
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

// newRetries begins a request.
func (s *Server) newRetries() *retries {
	s.retries.refill()
	return &retries{server: s}
}

// again says whether a failed attempt may be followed by another one.
type retryClass int

const (
	noRetry     retryClass = iota
	retryUnsent            // no connection was made
	retrySent              // the upstream has seen the attempt, or may have
)

// allow reports whether another attempt is made.
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
