package upstream

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"egretramp/internal/responsecheck"
)

// ErrSendPermissionExpired means that the permission to send a call had expired when its first
// byte was about to be written, for example because the VM was paused. Nothing was written.
var ErrSendPermissionExpired = errors.New("the leave to send the call had ended before its first byte")

// writeGuard decides, when the first byte of a call is about to be written, whether it may still be sent.
type writeGuard struct {
	// permitted reports whether the call may be sent now; nil means always.
	permitted func() bool

	mu      sync.Mutex
	written bool // bytes may have been sent to the upstream
	denied  bool // permitted returned false for the first byte
	sealed  bool // further writes are rejected
}

// allowWrite reports whether a write may proceed. It is called before each write.
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

// callError converts an error of the transport to a *CallError. If nothing has been written so
// far, it prevents all later writes.
func (g *writeGuard) callError(err error) *CallError {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealed = true
	if g.denied {
		// err is that of the rejected write, or of the read on the connection that was closed for it.
		return &CallError{Cause: errors.WithSecondaryError(ErrSendPermissionExpired, err)}
	}
	return &CallError{Written: g.written, Cause: err}
}

// guardedConn is a connection for one request; a writeGuard decides whether its first byte is sent.
type guardedConn struct {
	*responsecheck.Conn
	mu    sync.Mutex
	guard *writeGuard // nil until the connection is assigned to a request
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

// setGuard sets the guard of the connection's request, before the transport writes the request.
func (c *guardedConn) setGuard(guard *writeGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = guard
}

// dialGuarded returns a dial function whose connections are of type *guardedConn.
func dialGuarded(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: responsecheck.NewConn(conn)}, nil
	}
}
