package groups

import (
	"sync"
	"time"
)

// OutageExpiry is how long after the last command or query an outage counts as lasting. What
// was found out longer ago says nothing of the group any more.
const OutageExpiry = 10 * time.Second

// Outage measures how long a group has given this VM no answer. Times are since boot. The zero
// value is ready to use; it is safe for concurrent use.
type Outage struct {
	mu          sync.Mutex
	unanswered  bool
	firstSentAt time.Duration // when the first command or query that found no answer was sent
	lastSentAt  time.Duration // when the last one was sent
}

// RequestSent notes that the group is asked.
func (o *Outage) RequestSent(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isOngoing(now) {
		o.unanswered, o.firstSentAt = true, now
	}
	o.lastSentAt = now
}

// ReplyReceived notes an answer of the group, of whatever kind.
func (o *Outage) ReplyReceived() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unanswered = false
}

// Duration returns how long the group has given no answer.
func (o *Outage) Duration(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isOngoing(now) {
		return 0
	}
	return now - o.firstSentAt
}

func (o *Outage) isOngoing(now time.Duration) bool {
	return o.unanswered && now-o.lastSentAt <= OutageExpiry
}
