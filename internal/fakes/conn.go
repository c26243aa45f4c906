package fakes

import (
	"bytes"
	"net"
	"sync"
)

// controlPrefix is the path prefix of a stand-in's control endpoints.
const controlPrefix = "/_fake/"

// tracker is a listener that records the bytes received on its connections and can silence or
// reset them.
type tracker struct {
	net.Listener
	received *received

	mu     sync.Mutex
	conns  map[*trackedConn]struct{}
	closed bool
}

func newTracker(l net.Listener, r *received) *tracker {
	return &tracker{Listener: l, received: r, conns: map[*trackedConn]struct{}{}}
}

// Accept implements net.Listener.
func (t *tracker) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc := &trackedConn{Conn: c, tracker: t, done: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	t.conns[tc] = struct{}{}
	return tc, nil
}

// silence permanently silences all open connections except control connections, and returns how
// many it silenced.
func (t *tracker) silence() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.conns {
		if c.setSilent() {
			n++
		}
	}
	return n
}

// reset closes the listener and resets every connection, as happens when a process is killed.
func (t *tracker) reset() {
	t.mu.Lock()
	t.closed = true
	conns := t.conns
	t.conns = map[*trackedConn]struct{}{}
	t.mu.Unlock()
	_ = t.Listener.Close()
	for c := range conns {
		c.resetNow()
	}
}

func (t *tracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// trackedConn is one connection. If its first request is for a control path, it is a control
// connection, which is neither recorded nor affected by faults.
type trackedConn struct {
	net.Conn
	tracker *tracker
	done    chan struct{}
	log     connLog

	mu      sync.Mutex
	started bool
	control bool
	silent  bool
	closed  bool
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.done
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.record(p[:n])
	}
	return n, err
}

func (c *trackedConn) record(p []byte) {
	if c.classify(p) {
		return
	}
	c.tracker.received.add(&c.log, p)
}

// classify reports whether this is a control connection, determined from its first bytes p.
func (c *trackedConn) classify(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started {
		c.started = true
		_, path, _ := bytes.Cut(p[:min(len(p), 64)], []byte(" "))
		c.control = bytes.HasPrefix(path, []byte(controlPrefix))
	}
	return c.control
}

// Write implements net.Conn. Writes to a silent connection are discarded without an error.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection stays open for its peer until the stand-in is
// closed.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	silent := c.silent
	c.mu.Unlock()
	if silent {
		return nil
	}
	c.tracker.remove(c)
	return c.Conn.Close()
}

func (c *trackedConn) resetNow() {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

func (c *trackedConn) setSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.control || c.silent {
		return false
	}
	c.silent = true
	return true
}

func (c *trackedConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *trackedConn) isControl() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.control
}
