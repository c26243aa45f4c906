package upstream

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrSendPermissionExpired says that a call's leave to be sent had ended when its first byte was to be
// written, as on a VM that was frozen meanwhile. Nothing was written.
var ErrSendPermissionExpired = errors.New("the leave to send the call had ended before its first byte")

// writeGuard decides at the moment of its first byte whether a call is still sent.
type writeGuard struct {
	// may reports whether the call may be sent now; nil if it always may.
	permitted func() bool

	mu      sync.Mutex
	written bool // bytes may have gone towards the upstream
	denied  bool // the first byte was refused
	sealed  bool // no byte goes any more
}

// allow is asked before each write.
func (g *writeGuard) allowWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.written:
		return true
	case g.sealed:
		return false
	case g.permitted != nil && !g.permitted():
		g.denied, g.sealed = true, true
		return false
	}
	g.written = true
	return true
}

// failed turns the transport's error into a *CallError. A call of which nothing was written by
// now never is.
func (g *writeGuard) callError(err error) *CallError {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	if g.denied {
		return &CallError{Cause: errors.Mark(err, ErrSendPermissionExpired)}
	}
	return &CallError{Written: g.written, Cause: err}
}

// guardedConn is a connection for one request, whose first byte a writeGuard decides on.
type guardedConn struct {
	net.Conn
	mu    sync.Mutex
	guard *writeGuard // nil until the request is known
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	guard := c.guard
	c.mu.Unlock()
	if guard != nil && !guard.allowWrite() {
		return 0, ErrSendPermissionExpired
	}
	return c.Conn.Write(p)
}

// arm ties the connection to its request, before the transport writes that.
func (c *guardedConn) setGuard(guard *writeGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
}

// dialGuarded dials connections that a request can arm.
func dialGuarded(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}
