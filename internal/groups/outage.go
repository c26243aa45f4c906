package groups

import (
	"sync"
	"time"
)

// OutageMemory is how long after the last command or query an outage counts as lasting. What
// was found out longer ago says nothing of the group any more.
const OutageMemory = 10 * time.Second

// Outage measures how long a group has given this VM no answer. Times are since boot. The zero
// value is ready to use; it is safe for concurrent use.
type Outage struct {
	mu     sync.Mutex
	open   bool
	since  time.Duration // when the first command or query that found no answer was sent
	lastAt time.Duration // when the last one was sent
}

// Sent notes that the group is asked.
func (o *Outage) Sent(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lasting(now) {
		o.open, o.since = true, now
	}
	o.lastAt = now
}

// Answered notes an answer of the group, of whatever kind.
func (o *Outage) Answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open = false
}

// Length returns how long the group has given no answer.
func (o *Outage) Length(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lasting(now) {
		return 0
	}
	return now - o.since
}

func (o *Outage) lasting(now time.Duration) bool {
	return o.open && now-o.lastAt <= OutageMemory
}
