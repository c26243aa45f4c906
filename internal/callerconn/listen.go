// Package callerconn applies the decisions of package callermem to connections: it accepts, measures and closes them.
package callerconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"egretramp/internal/callermem"
	"egretramp/internal/clock"
)

const (
	// MeasureInterval is how often callermem.Budget.Measure should be called.
	MeasureInterval = 250 * time.Millisecond
	// admitTimeout is how long a listener waits for a connection of a full group to end before it closes the new one.
	admitTimeout  = time.Second
	admitInterval = 5 * time.Millisecond
	// socketBufferBytes is the size of a connection's receive and send buffer in the kernel, which reserves twice as much. The
	// kernel's own limits are up to 32 MB for each connection, which count toward the memory of the machine. With 64 KiB, 150
	// callers that read nothing filled 19 MB between two measurements, which an entry VM of 88 MB hasn't.
	socketBufferBytes = 32 << 10
)

// Admit adds a connection that was accepted, and limits the kernel's buffers for it. If the group is full and no connection can be
// closed, it waits, so that no further connection is accepted. It returns nil if that takes too long: the connection must
// be closed.
func Admit(g *callermem.Group, raw net.Conn) *callermem.Conn {
	if !g.Limited() {
		return &callermem.Conn{}
	}
	for end := clock.Now() + admitTimeout; ; time.Sleep(admitInterval) {
		now := clock.Now()
		c := g.Open(now, socket{raw})
		if c == nil && now < end {
			continue
		}
		if c != nil {
			limitBuffers(raw)
		}
		return c
	}
}

// socket implements callermem.Socket.
type socket struct{ conn net.Conn }

// Reset implements callermem.Socket.
func (s socket) Reset() {
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = s.conn.Close()
}

func limitBuffers(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBufferBytes) // these fail only on a closed connection
		_ = tcp.SetWriteBuffer(socketBufferBytes)
	}
}

// QueuedBytes implements callermem.Socket: it returns unread bytes and those that the other side hasn't acknowledged. It returns 0
// for connections other than TCP.
func (s socket) QueuedBytes() int64 {
	tcp, ok := s.conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	total := int64(0)
	err = raw.Control(func(fd uintptr) {
		for _, request := range []uint{unix.SIOCINQ, unix.SIOCOUTQ} {
			if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
				total += int64(n)
			}
		}
	})
	if err != nil {
		return 0
	}
	return total
}
