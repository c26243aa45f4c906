package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connTracker follows the connections of callers, so that a shutdown can wait until none is likely to
// carry a request at the moment it is closed.
type connTracker struct {
	mu   sync.Mutex
	open map[net.Conn]time.Time // since when a connection is idle; zero while it is not
}

func newConnTracker() *connTracker {
	return &connTracker{open: map[net.Conn]time.Time{}}
}

// trackState takes a connection's new state, as http.Server.ConnState.
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

// allIdle reports whether every connection has been idle for a time.
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
