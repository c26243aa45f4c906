package gateway

import "sync"

// Bounds of retries: over any period a VM retries at most retryRatio of its requests, plus
// retryReserve; one request has at most maxAttempts attempts.
const (
	retryRatio   = 0.1
	retryReserve = 10.0
	maxAttempts  = 3
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
func (b *retryBudget) earn() {
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
