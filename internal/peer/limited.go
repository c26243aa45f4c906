package peer

import (
	"time"

	"github.com/cockroachdb/errors"

	"egretramp/internal/callermem"
	"egretramp/internal/clock"
)

var errMemoryFull = errors.New("peer: the memory for what other VMs send is used up")

// limitedConn is a connection from another VM. What has arrived of a message counts toward a budget, and so does the buffer of a
// large message as long as the protocol's reader keeps it.
type limitedConn struct {
	*countedConn
	memory  *callermem.Conn
	packets packetTracker // used by the one goroutine that reads
	held    int64
	phase   callermem.Phase
}

// Read implements net.Conn. It returns an error, which ends the connection, if there is no memory or if the bytes are no frames.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.countedConn.Read(p)
	now := clock.Now()
	c.memory.Progress(n, now)
	if err := c.packets.add(p[:n]); err != nil {
		return 0, err
	}
	if !c.hold(c.packets.held(), now) {
		return 0, errMemoryFull
	}
	return n, err
}

// hold makes the connection hold size bytes and reports whether there is room for them. Connections without an unfinished message
// are kept while there is room for others, and closed before those with one only if they keep a large buffer.
func (c *limitedConn) hold(size int64, now time.Duration) bool {
	phase := callermem.Serving
	switch {
	case c.packets.size > 0:
		phase = callermem.Receiving
	case c.packets.retained > 0:
		phase = callermem.Idle
	}
	if phase != c.phase || phase == callermem.Serving {
		c.memory.SetPhase(phase, now)
		c.phase = phase
	}
	if size <= c.held {
		c.memory.Release(c.held - size)
	} else if !c.memory.Reserve(size-c.held, now) {
		return false
	}
	c.held = size
	return true
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.memory.Close()
	return c.countedConn.Close()
}
