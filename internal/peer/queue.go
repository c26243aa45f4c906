package peer

import (
	"sync"
	"time"

	"egretramp/internal/peer/peerpb"
)

const (
	maxQueueLength = 4096 // messages to one VM
	// queueKept is the room that an empty queue keeps, in messages.
	idleQueueCapacity = 16
)

// queue holds the messages to one VM in their order. It grows as needed: a fleet has a queue for
// each pair of VMs, and nearly all are empty.
type queue struct {
	wake chan struct{} // holds a value while there may be messages

	mu    sync.Mutex
	items []queuedMessage
	head  int // of the first message in items
}

// queued is a message that waits to be sent.
type queuedMessage struct {
	envelope   *peerpb.Envelope
	enqueuedAt time.Time
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// push adds a message; false if the queue is full.
func (q *queue) push(m queuedMessage) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items)-q.head >= maxQueueLength {
		return false
	}
	if len(q.items) == cap(q.items) && q.head > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	q.items = append(q.items, m)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// pop takes the first message; false if there is none.
func (q *queue) pop() (queuedMessage, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.head == len(q.items) {
		return queuedMessage{}, false
	}
	m := q.items[q.head]
	q.items[q.head] = queuedMessage{}
	q.head++
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
		if cap(q.items) > idleQueueCapacity {
			q.items = nil
		}
	}
	return m, true
}
