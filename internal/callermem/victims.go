package callermem

import (
	"cmp"
	"slices"
	"time"
)

const (
	// progressWindow is the time over which the progress of a connection is counted, at least one and at most two of them.
	progressWindow = time.Second
	// minVictimBytes is what a connection must hold beyond ConnBytes to be closed for its memory before any that holds less.
	minVictimBytes = 8 << 10
)

// progress counts the bytes that a connection transferred recently.
type progress struct {
	window        time.Duration // number of the current window
	current, last int64
}

func (p *progress) add(n int64, now time.Duration) {
	p.advance(now)
	p.current += n
}

func (p *progress) advance(now time.Duration) {
	window := now / progressWindow
	switch {
	case window <= p.window: // times are taken before the lock, so they may be out of order
		return
	case window == p.window+1:
		p.last = p.current
	default:
		p.last = 0
	}
	p.window, p.current = window, 0
}

// recent returns the bytes of the current window and of the one before it.
func (p *progress) recent(now time.Duration) int64 {
	p.advance(now)
	return p.current + p.last
}

// class returns the order in which connections are closed, lowest first.
func (c *Conn) class() int {
	switch c.phase {
	case Receiving, Sending:
		return 0
	case Unused:
		return 1
	case Idle:
		return 2
	default:
		return 3
	}
}

// byProgress orders connections by class, progress and age.
func byProgress(now time.Duration) func(a, b *Conn) int {
	return func(a, b *Conn) int {
		return cmp.Or(
			cmp.Compare(a.class(), b.class()),
			cmp.Compare(a.progress.recent(now), b.progress.recent(now)),
			cmp.Compare(a.since, b.since),
		)
	}
}

// selectVictims returns the connections to close so that at least excess bytes become free, or as many as there are. Connections
// whose phase began less than graceTime ago are left out, and so are idle ones, which hold little. Connections whose request is being served hold what their
// callers sent behind it; they are closed only if the budget is exceeded.
func selectVictims(conns []*Conn, now time.Duration, excess int64, exceeded bool) []*Conn {
	conns = slices.DeleteFunc(slices.Clone(conns), func(c *Conn) bool {
		switch c.phase {
		case Serving:
			return !exceeded || c.kernel < minVictimBytes || now-c.since < graceTime
		case Idle:
			return c.large() == 0
		default:
			return now-c.since < graceTime
		}
	})
	order := byProgress(now)
	slices.SortFunc(conns, func(a, b *Conn) int {
		return cmp.Or(cmp.Compare(b.large(), a.large()), order(a, b))
	})
	for i, c := range conns {
		if excess <= 0 {
			return conns[:i]
		}
		excess -= c.bytes
	}
	return conns
}

// large returns 1 if closing the connection frees much memory, otherwise 0.
func (c *Conn) large() int {
	if c.bytes >= ConnBytes+minVictimBytes {
		return 1
	}
	return 0
}

// leastProgress returns the connection to close so that another one can be opened: one without a request first, the oldest of
// them. It returns nil if all are being served.
func leastProgress(conns []*Conn, now time.Duration) *Conn {
	conns = slices.DeleteFunc(conns, func(c *Conn) bool { return c.phase == Serving || c.phase != Unused && now-c.since < graceTime })
	if len(conns) == 0 {
		return nil
	}
	rank := map[Phase]int{Unused: 0, Receiving: 1, Sending: 1, Idle: 2}
	return slices.MinFunc(conns, func(a, b *Conn) int {
		return cmp.Or(
			cmp.Compare(rank[a.phase], rank[b.phase]),
			cmp.Compare(a.progress.recent(now), b.progress.recent(now)),
			cmp.Compare(a.since, b.since),
		)
	})
}
