package schedule

import "time"

// queueEntry is a request in the queue.
type queueEntry struct {
	Request
	account  *account
	queuedAt time.Duration
	// rank orders the requests of an account, lowest first.
	rank time.Duration
	flow *flow
	// heldUntil is when a request that is held for an upstream is placed again; deadline is when a
	// request is refused.
	heldUntil time.Duration
	deadline  time.Duration
	// pinned means that the request is held until the upstream has enough free KV memory.
	pinned bool
	// Positions in flow.requests, Pool.held and Pool.deadlines.
	inFlow, inHeld, inDeadlines int
}

// flow holds the requests of one account in one lane, ordered by rank.
type flow struct {
	account  *account
	lane     *lane
	requests indexedHeap[*queueEntry]
	inLane   int // position in lane.flows
}

// lane is a queue of requests that may run on the same upstreams: on one upstream or, in the
// shared lane, on any. The flow of the account with the least service comes first.
type lane struct {
	flows     indexedHeap[*flow]
	byAccount map[*account]*flow
	waiting   int
}

func newLane() *lane {
	return &lane{
		flows: indexedHeap[*flow]{
			less:     func(a, b *flow) bool { return a.account.before(b.account) },
			position: func(f *flow) *int { return &f.inLane },
		},
		byAccount: map[*account]*flow{},
	}
}

func (l *lane) add(w *queueEntry) {
	f, ok := l.byAccount[w.account]
	if !ok {
		f = &flow{
			account: w.account,
			lane:    l,
			requests: indexedHeap[*queueEntry]{
				less:     func(a, b *queueEntry) bool { return a.before(b) },
				position: func(w *queueEntry) *int { return &w.inFlow },
			},
		}
		l.byAccount[w.account] = f
		w.account.flows = append(w.account.flows, f)
		l.flows.add(f)
	}
	w.flow = f
	f.requests.add(w)
	l.waiting++
}

// remove removes a request from the lane.
func (l *lane) remove(w *queueEntry) {
	f := w.flow
	f.requests.remove(w)
	w.flow = nil
	l.waiting--
	if f.requests.Len() > 0 {
		return
	}
	l.flows.remove(f)
	delete(l.byAccount, f.account)
	f.account.dropFlow(f)
}

// first returns the first request, nil if the lane is empty.
func (l *lane) first() *queueEntry {
	f := l.flows.first()
	if f == nil {
		return nil
	}
	return f.requests.first()
}

// before orders requests of one account: by rank, then by ID.
func (w *queueEntry) before(v *queueEntry) bool {
	if w.rank != v.rank {
		return w.rank < v.rank
	}
	return w.ID < v.ID
}

// precedes orders requests of any accounts: by account, then within the account.
func (w *queueEntry) precedes(v *queueEntry) bool {
	if w.account != v.account {
		return w.account.before(v.account)
	}
	return w.before(v)
}
