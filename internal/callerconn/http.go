package callerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/callermem"
	"egretramp/internal/clock"
)

const (
	// headFactor is how many times its size on the wire a head may take once it is parsed, maxHeadCost the largest head's cost.
	headFactor  = 32
	maxHeadCost = 256 << 10
	// maxHTTPHead is the largest head, apart from the 4 KiB that net/http adds.
	maxHTTPHead = 8 << 10
	headTimeout = 3 * time.Second
	readTimeout = 10 * time.Second
	idleTimeout = 30 * time.Second
	// writeTimeout bounds a request from the end of its head to the end of its answer. It exceeds the time in which an
	// operator's command is acknowledged.
	writeTimeout = 30 * time.Second
	// bodyFactor is how many times its size a body takes while it is read into a buffer that grows.
	bodyFactor = 2
)

// ErrFull is returned by reads of a body for which there is no memory. The request has not run.
var ErrFull = errors.New("callerconn: the memory for callers is used up")

// NewHTTPServer returns a server for few and small requests, those of operators, whose connections count toward a budget. It serves
// a listener that Listener wrapped.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: limitBodies(handler), MaxHeaderBytes: maxHTTPHead, ReadHeaderTimeout: headTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if conn, ok := c.(*httpConn); ok && state == http.StateIdle {
				conn.requestEnded()
			}
		},
	}
}

type connKey struct{}

// Listener returns a listener whose connections belong to the group.
func Listener(g *callermem.Group, listener net.Listener) net.Listener {
	if !g.Limited() {
		return listener
	}
	return &httpListener{Listener: listener, group: g}
}

type httpListener struct {
	net.Listener
	group *callermem.Group
}

// Accept implements net.Listener.
func (l *httpListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if memory := Admit(l.group, raw); memory != nil {
			return &httpConn{Conn: raw, memory: memory}, nil
		}
		_ = raw.Close() // all connections are being served
	}
}

// httpConn is a connection whose head and body count toward a budget.
type httpConn struct {
	net.Conn
	memory *callermem.Conn

	mu        sync.Mutex
	inRequest bool
	headCost  int64
	held      int64
}

// Read implements net.Conn.
func (c *httpConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(n) {
		return 0, ErrFull
	}
	return n, err
}

// received records that n bytes arrived and reports whether there is room for them.
func (c *httpConn) received(n int) bool {
	now := clock.Now()
	c.memory.Progress(n, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	cost := min(int64(n)*headFactor, maxHeadCost-c.headCost)
	c.headCost += cost
	if !c.inRequest {
		c.inRequest = true
		c.memory.SetPhase(callermem.Receiving, now)
		cost += callermem.RequestBytes
	}
	return c.reserve(cost)
}

// reserve reserves n bytes for the present request. The caller holds mu.
func (c *httpConn) reserve(n int64) bool {
	if n > 0 && !c.memory.Reserve(n, clock.Now()) {
		return false
	}
	c.held += n
	return true
}

// requestEnded returns what the request held.
func (c *httpConn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Release(c.held)
	c.held, c.headCost, c.inRequest = 0, 0, false
	c.memory.SetPhase(callermem.Idle, clock.Now())
}

// Write implements net.Conn.
func (c *httpConn) Write(p []byte) (int, error) {
	c.memory.SetPhase(callermem.Sending, clock.Now())
	n, err := c.Conn.Write(p)
	c.memory.Progress(n, clock.Now())
	c.memory.SetPhase(callermem.Serving, clock.Now())
	return n, err
}

// Close implements net.Conn.
func (c *httpConn) Close() error {
	c.memory.Close()
	return c.Conn.Close()
}

// limitBodies makes the bodies of requests count toward the budget of their connection.
func limitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*httpConn); ok {
			if r.Body == nil || r.Body == http.NoBody {
				c.memory.SetPhase(callermem.Serving, clock.Now())
			} else {
				r.Body = &limitedBody{ReadCloser: r.Body, conn: c}
			}
		}
		next.ServeHTTP(w, r)
	})
}

type limitedBody struct {
	io.ReadCloser
	conn *httpConn
}

// Read implements io.Reader. It returns ErrFull if there is no memory.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.conn.mu.Lock()
	room := b.conn.reserve(int64(n) * bodyFactor)
	b.conn.mu.Unlock()
	switch {
	case !room, errors.Is(err, ErrFull):
		return 0, ErrFull
	case errors.Is(err, io.EOF):
		b.conn.memory.SetPhase(callermem.Serving, clock.Now())
	}
	return n, err
}
