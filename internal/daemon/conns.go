package daemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// conns follows the connections of callers, so that a shutdown can wait until none is likely to
// carry a request at the moment it is closed.
type conns struct {
	mu   sync.Mutex
	open map[net.Conn]time.Time // since when a connection is idle; zero while it is not
}

func newConns() *conns {
	return &conns{open: map[net.Conn]time.Time{}}
}

// note takes a connection's new state, as http.Server.ConnState.
func (c *conns) note(conn net.Conn, state http.ConnState) {
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

// quiet reports whether every connection has been idle for a time.
func (c *conns) quiet(now time.Time, idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.open {
		if since.IsZero() || now.Sub(since) < idle {
			return false
		}
	}
	return true
}
