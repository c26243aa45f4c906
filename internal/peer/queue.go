package peer

import (
	"sync"
	"time"

	"egretramp/internal/peer/peerpb"
)

const (
	maxQueueLength = 4096 // maximum number of messages to one VM
	// idleQueueCapacity is the maximum capacity that an empty queue retains, in messages.
	idleQueueCapacity = 16
)

// queue is a bounded FIFO of the messages to one VM. It grows on demand and shrinks when empty,
// because a fleet has a queue for each pair of VMs and nearly all are empty.
type queue struct {
	wake chan struct{} // holds a value while messages may be queued

	mu    sync.Mutex
	items []queuedMessage
	head  int // index of the first message in items
}

// queuedMessage is a message waiting to be sent.
type queuedMessage struct {
	envelope   *peerpb.Envelope
	enqueuedAt time.Time
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

// push appends a message; it returns false if the queue is full.
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

// pop removes and returns the first message; it returns false if the queue is empty.
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
