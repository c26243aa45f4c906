package callermem

import "time"

// Conn is the part of a budget that one connection holds. It is safe for concurrent use. The zero value holds nothing and has no
// limit.
type Conn struct {
	budget *Budget
	group  *Group
	socket Socket

	// The rest is guarded by budget.mu.
	phase    Phase
	since    time.Duration // when the phase began
	bytes    int64         // what the connection holds, kernel included
	reserved int64         // the part of bytes that Reserve added
	kernel   int64         // bytes in the kernel's queues, as last measured
	// empty is set if the kernel's queues were measured as empty while the connection waits for a request: they remain empty
	// until its phase changes.
	empty    bool
	changes  int // of the phase
	progress progress
	evicted  bool // it is being closed to make room
	gone     bool
}

// Reserve adds n bytes to what the connection holds and reports whether there is room. Without room, connections that make
// little progress are closed, so that there is some later.
func (c *Conn) Reserve(n int64, now time.Duration) bool {
	b := c.budget
	if b == nil || b.limit <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.gone || c.evicted {
		return false
	}
	limit := float64(b.limit)
	if c.bytes+n > OwnBytes && !c.group.whole {
		limit *= largeShare
	}
	if float64(b.used+n) > limit && !c.hasPeerShare(n) {
		b.refused++
		b.relieve(now, n)
		return false
	}
	c.add(n)
	return true
}

// hasPeerShare reports whether n more bytes of a small message find room in the part that is kept for other VMs. The caller holds
// budget.mu.
func (c *Conn) hasPeerShare(n int64) bool {
	return c.group.peers && c.reserved+n <= OwnBytes && float64(c.group.reserved+n) <= peerShare*float64(c.budget.limit)
}

// Release returns n reserved bytes.
func (c *Conn) Release(n int64) {
	b := c.budget
	if b == nil || b.limit <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.gone {
		c.add(-n)
	}
}

// add changes what is reserved by n bytes. The caller holds budget.mu.
func (c *Conn) add(n int64) {
	c.reserved += n
	c.group.reserved += n
	c.change(n)
}

// change changes what the connection holds. The caller holds budget.mu.
func (c *Conn) change(n int64) {
	if c.gone {
		return
	}
	c.bytes += n
	c.budget.used += n
	if c.evicted {
		c.budget.closing += n
	}
}

// SetPhase records what the connection does from now on.
func (c *Conn) SetPhase(p Phase, now time.Duration) {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.phase, c.since, c.empty = p, now, false
	c.changes++
}

// Progress records that n bytes were received from or taken by the caller.
func (c *Conn) Progress(n int, now time.Duration) {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.progress.add(int64(n), now)
}

// setKernel records the bytes in the kernel's queues of the connection. They are counted even if there is no room.
// changes is the number of changes of the phase before the measurement.
func (c *Conn) setKernel(n int64, changes int) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.gone {
		return
	}
	c.change(n - c.kernel)
	c.kernel = n
	c.empty = n == 0 && c.changes == changes && (c.phase == Unused || c.phase == Idle)
}

// Close returns all that the connection holds.
func (c *Conn) Close() {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.remove(c)
}
