package bench

import (
	"container/heap"
	"time"
)

// sim runs events in virtual time, ordered by time and then by creation.
type sim struct {
	now    time.Duration
	events eventQueue
	serial uint64
}

type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// at schedules an event at a time, or now if the time has passed.
func (s *sim) at(t time.Duration, run func()) {
	s.serial++
	heap.Push(&s.events, event{max(t, s.now), s.serial, run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// runUntil runs the events up to and including a time.
func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}
