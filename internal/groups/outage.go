package groups

import (
	"sync"
	"time"
)

// OutageExpiry is how long after the last command or query an outage counts as ongoing. Older
// observations say nothing about the present state of the group.
const OutageExpiry = 10 * time.Second

// Outage measures how long a group has not replied to this VM. Times are since boot. The zero value
// is ready to use. It is safe for concurrent use.
type Outage struct {
	mu          sync.Mutex
	unanswered  bool          // true if no reply arrived since firstSentAt
	firstSentAt time.Duration // when the first unanswered command or query was sent
	lastSentAt  time.Duration // when the last one was sent
}

// RequestSent records that a command or query was sent to the group at now.
func (o *Outage) RequestSent(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isOngoing(now) {
		o.unanswered, o.firstSentAt = true, now
	}
	o.lastSentAt = now
}

// ReplyReceived records a reply from the group, successful or not. It ends the outage.
func (o *Outage) ReplyReceived() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unanswered = false
}

// Duration returns how long the group has not replied; 0 if there is no ongoing outage.
func (o *Outage) Duration(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isOngoing(now) {
		return 0
	}
	return now - o.firstSentAt
}

// isOngoing reports whether a request is unanswered and the last one is at most OutageExpiry old.
func (o *Outage) isOngoing(now time.Duration) bool {
	return o.unanswered && now-o.lastSentAt <= OutageExpiry
}
