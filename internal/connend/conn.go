// Package connend tells an orderly end of a connection from all others. A response without a length ends with its connection, so only
// an orderly end makes it whole. A socket reports an error such as a reset once, to whichever call comes first: if that is a write,
// later reads see an end that looks orderly, whatever reads them. The product reads responses only from connections of type Conn.
package connend

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection whose Read returns io.EOF only if the other side ended it in order, whether or not that side takes what is
// written. Writes end with the reads: one that is blocked then returns os.ErrDeadlineExceeded.
type Conn struct {
	net.Conn
	writing  sync.Mutex // held by Write
	writeErr error      // the first error of a write; guarded by writing
}

// New returns a Conn on a connection that is not used otherwise.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. If a write took the error that tells how the connection ended, Read returns it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := c.endWrites(); tellsEnd(writeErr) {
		return n, errors.Wrap(writeErr, "connend: the connection had ended before a write")
	}
	return n, err
}

// endWrites makes a blocked write return and returns the first error of all writes. A write that took the socket's error may not have
// returned yet, and is waited for.
func (c *Conn) endWrites() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection, where no write is blocked
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// tellsEnd reports whether the first error of a connection's writes is that of a socket that did not end in order. EPIPE is the first
// one only if the end that the other side sent had arrived before.
func tellsEnd(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
