// Package callermem decides how much memory a process holds for its callers: heads, bodies and answers that wait to be read, on
// all connections together, and how many connections it accepts. A reservation grows with the bytes that have arrived. The package
// does no I/O and has no clock: the owner of a connection reports what happens on it. Package callerconn applies the decisions.
package callermem

import (
	"sync"
	"time"
)

const (
	// OwnBytes is the size up to which a connection may use the part of the budget that is kept for small requests: ordinary
	// requests are served while large bodies are refused.
	OwnBytes = 64 << 10
	// ConnBytes is what an open connection costs without a request, in the process and in the kernel.
	ConnBytes = 8 << 10
	// RequestBytes is what a request costs besides its head and body: stacks, read and write buffers.
	RequestBytes = 16 << 10
	// budgetShare is the part of a process's memory that is used for callers.
	budgetShare = 0.25
	// largeShare is the part of the budget that connections with more than OwnBytes may use.
	largeShare = 0.75
	// peerShare is the part of the budget that small messages of other VMs may use beside everything else: callers must not
	// interrupt the traffic between VMs.
	peerShare = 0.25
	// relievedShare is the part of the budget down to which connections are closed.
	relievedShare = 0.6
	// graceTime is how old a phase of a connection must be before the connection is closed for making little progress: a caller
	// that sends or reads at all makes some progress in this time.
	graceTime = time.Second
	// reliefInterval is the least time between two selections of connections to close, which look at all connections.
	reliefInterval = 50 * time.Millisecond
)

// DefaultBytes returns the budget, in bytes, of a process that may use memory bytes.
func DefaultBytes(memory int64) int64 { return int64(float64(memory) * budgetShare) }

// Phase is what a connection does.
type Phase int

// Phases of a connection.
const (
	Unused    Phase = iota // open, without a request so far
	Idle                   // between requests
	Receiving              // a request has begun to arrive
	Serving                // the request is complete and has no answer yet
	Sending                // the answer is being sent
)

// Socket is the connection behind a Conn.
type Socket interface {
	// Reset closes the connection at once, without what is still to be sent.
	Reset()
	// QueuedBytes returns the bytes in the kernel's queues, 0 if it is closed.
	QueuedBytes() int64
}

// Budget is the memory that a process holds for callers. It is safe for concurrent use. A nil *Budget has no limit.
type Budget struct {
	limit int64

	mu         sync.Mutex
	used       int64
	conns      map[*Conn]struct{}
	closing    int64 // bytes of connections that are being closed
	refused    int64
	closed     int64
	nextRelief time.Duration // no connections are selected before
}

// New returns a budget of the given number of bytes, 0 for no limit.
func New(limit int64) *Budget { return &Budget{limit: limit, conns: map[*Conn]struct{}{}} }

// Stats describe a budget.
type Stats struct {
	Limit, Used int64 // bytes
	Conns       int
	Refused     int64 // reservations that were refused so far
	Closed      int64 // connections that were closed so far to make room
}

// Stats returns the present state.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Limit: b.limit, Used: b.used, Conns: len(b.conns), Refused: b.refused, Closed: b.closed}
}

// Limited reports whether the group's budget has a limit.
func (g *Group) Limited() bool { return g != nil && g.budget != nil && g.budget.limit > 0 }

// Group is the connections of one listener, whose number is limited.
type Group struct {
	budget *Budget
	limit  int
	count  int  // guarded by budget.mu
	whole  bool // large requests may use the whole budget
	// peers is set for connections from other VMs, which have peerShare beside the rest of the budget.
	peers    bool
	reserved int64 // by its connections; guarded by budget.mu
}

// Group returns a group of at most limit connections, 0 for no limit. Large requests of a group that may use the whole budget,
// that of the connections from other VMs, find room while those of others are refused.
func (b *Budget) Group(limit int, whole bool) *Group {
	return &Group{budget: b, limit: limit, whole: whole}
}

// PeerGroup returns a group of connections from other VMs. Their small messages find room even if callers use up the budget.
func (b *Budget) PeerGroup(limit int, whole bool) *Group {
	g := b.Group(limit, whole)
	g.peers = true
	return g
}

// Open adds a connection. If the group is full, it closes another connection, the one that makes the least progress. It returns
// nil if there is none: the owner accepts no connection until one has been closed.
func (g *Group) Open(now time.Duration, socket Socket) *Conn {
	if !g.Limited() {
		return &Conn{}
	}
	b := g.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if g.limit > 0 && g.count >= g.limit {
		victim := leastProgress(b.candidates(func(c *Conn) bool { return c.group == g }), now)
		if victim == nil {
			return nil
		}
		b.close(victim)
		b.remove(victim) // its owner's Close comes later and changes nothing
	}
	c := &Conn{budget: b, group: g, socket: socket, since: now, bytes: ConnBytes}
	b.conns[c] = struct{}{}
	b.used += ConnBytes
	g.count++
	return c
}

// candidates returns the connections that may be closed to make room and of which match returns true. The caller holds mu.
func (b *Budget) candidates(match func(*Conn) bool) []*Conn {
	var list []*Conn
	for c := range b.conns {
		if !c.evicted && match(c) {
			list = append(list, c)
		}
	}
	return list
}

// close begins to close a connection. The caller holds mu.
func (b *Budget) close(c *Conn) {
	c.evicted = true
	b.closing += c.bytes
	b.closed++
	go c.socket.Reset()
}

// wholeBytes returns what the connections of groups that may use the whole budget hold. The caller holds mu.
func (b *Budget) wholeBytes() int64 {
	total := int64(0)
	for c := range b.conns {
		if c.group.whole && !c.evicted {
			total += c.bytes
		}
	}
	return total
}

// remove forgets a connection and what it holds. The caller holds mu.
func (b *Budget) remove(c *Conn) {
	if c.gone {
		return
	}
	c.gone = true
	b.used -= c.bytes
	if c.evicted {
		b.closing -= c.bytes
	}
	c.group.reserved -= c.reserved
	c.bytes, c.reserved = 0, 0
	c.group.count--
	delete(b.conns, c)
}

// Measure asks for the bytes in the kernel's queues of all connections, and closes connections if there is too little room. It
// returns their number.
func (b *Budget) Measure(now time.Duration) int {
	if b == nil || b.limit <= 0 {
		return 0
	}
	b.mu.Lock()
	conns := map[*Conn]int{} // to the changes of their phase
	for c := range b.conns {
		if !c.empty {
			conns[c] = c.changes
		}
	}
	b.mu.Unlock()
	for c, changes := range conns {
		c.setKernel(c.socket.QueuedBytes(), changes)
	}
	return b.Relieve(now)
}

// Take reserves n bytes that belong to no connection's own reservation, such as a stored conversation. It reports whether there
// is room in the part for large requests.
func (b *Budget) Take(n int64) bool { return b.take(n, largeShare) }

// TakeAny is Take with the whole budget, for the response to a request that has run: refusing it would lose the response.
func (b *Budget) TakeAny(n int64) bool { return b.take(n, 1) }

func (b *Budget) take(n int64, share float64) bool {
	if b == nil || b.limit <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.used+n) > share*float64(b.limit) {
		b.refused++
		return false
	}
	b.used += n
	return true
}

// Return releases what Take or TakeAny reserved.
func (b *Budget) Return(n int64) {
	if b == nil || b.limit <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// Relieve closes the connections that make the least progress if the budget is nearly used up. A refused reservation does the same.
// It returns the number of connections that are closed.
func (b *Budget) Relieve(now time.Duration) int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.relieve(now, 0)
}

// relieve closes connections so that n more bytes find room, or for 0 until relievedShare is used. The caller holds mu.
func (b *Budget) relieve(now time.Duration, n int64) int {
	left := float64(b.used - b.closing + n)
	room := largeShare * float64(b.limit)
	if b.limit <= 0 || left <= room || now < b.nextRelief {
		return 0
	}
	b.nextRelief = now + reliefInterval
	if n == 0 {
		room = relievedShare * float64(b.limit)
	}
	exceeded := left > float64(b.limit)
	candidates := b.candidates(func(c *Conn) bool { return exceeded || !c.group.whole })
	if !exceeded {
		// Messages of a group that may use the whole budget make no room for others, and others make no room for them.
		if left -= float64(b.wholeBytes()); left <= room {
			return 0
		}
	}
	victims := selectVictims(candidates, now, int64(left-room), exceeded)
	for _, c := range victims {
		b.close(c)
	}
	return len(victims)
}
