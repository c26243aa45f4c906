package upstream

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrTooLate says that a call's leave to be sent had ended when its first byte was to be
// written, as on a VM that was frozen meanwhile. Nothing was written.
var ErrTooLate = errors.New("the leave to send the call had ended before its first byte")

// firstWrite decides at the moment of its first byte whether a call is still sent.
type firstWrite struct {
	// may reports whether the call may be sent now; nil if it always may.
	may func() bool

	mu      sync.Mutex
	written bool // bytes may have gone towards the upstream
	late    bool // the first byte was refused
	sealed  bool // no byte goes any more
}

// allow is asked before each write.
func (f *firstWrite) allow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.written:
		return true
	case f.sealed:
		return false
	case f.may != nil && !f.may():
		f.late, f.sealed = true, true
		return false
	}
	f.written = true
	return true
}

// failed turns the transport's error into a *CallError. A call of which nothing was written by
// now never is.
func (f *firstWrite) failed(err error) *CallError {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sealed = true
	if f.late {
		return &CallError{Cause: errors.Mark(err, ErrTooLate)}
	}
	return &CallError{Written: f.written, Cause: err}
}

// guardedConn is a connection for one request, whose first byte a firstWrite decides on.
type guardedConn struct {
	net.Conn
	mu    sync.Mutex
	guard *firstWrite // nil until the request is known
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	guard := c.guard
	c.mu.Unlock()
	if guard != nil && !guard.allow() {
		return 0, ErrTooLate
	}
	return c.Conn.Write(p)
}

// arm ties the connection to its request, before the transport writes that.
func (c *guardedConn) arm(guard *firstWrite) {
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
