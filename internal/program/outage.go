package program

import (
	"sync"
	"time"
)

// outageMemory is how long after the last command or query an outage counts as lasting. What
// was found out longer ago says nothing of the group any more.
const outageMemory = 10 * time.Second

// outage measures how long the group has given this VM no answer. Times are since boot.
type outage struct {
	mu     sync.Mutex
	open   bool
	since  time.Duration // when the first command or query that found no answer was sent
	lastAt time.Duration // when the last one was sent
}

// sent notes that the group is asked.
func (o *outage) sent(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lasting(now) {
		o.open, o.since = true, now
	}
	o.lastAt = now
}

// answered notes an answer of the group, of whatever kind.
func (o *outage) answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open = false
}

// length returns how long the group has given no answer.
func (o *outage) length(now time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lasting(now) {
		return 0
	}
	return now - o.since
}

func (o *outage) lasting(now time.Duration) bool {
	return o.open && now-o.lastAt <= outageMemory
}
