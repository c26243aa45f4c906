package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker tracks the state of callers' connections, so that a shutdown can wait until it is unlikely
// that closing one interrupts a request.
type connTracker struct {
	mu   sync.Mutex
	open map[net.Conn]time.Time // when each connection became idle; zero while it is active
}

func newConnTracker() *connTracker {
	return &connTracker{open: map[net.Conn]time.Time{}}
}

// trackState records a connection's new state. It is used as http.Server.ConnState.
func (c *connTracker) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.open[conn] = time.Time{}
	case http.StateNew, http.StateIdle:
		c.open[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// allIdle reports whether every connection has been idle for at least the given time.
func (c *connTracker) allIdle(now time.Time, idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.open {
		if since.IsZero() || now.Sub(since) < idle {
			return false
		}
	}
	return true
}
