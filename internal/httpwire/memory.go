package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"egretramp/internal/clock"
)

var (
	errOutOfMemory = errors.New("httpwire: the memory for callers is used up")
	outOfMemory    = &failure{http.StatusServiceUnavailable, "the memory for callers is used up"}
)

// readers holds read buffers of readerSize. Connections that wait for a request have none.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerSize) }}

// input reads from a connection and records the bytes as the caller's progress.
type input struct{ conn *serverConn }

func (r input) Read(p []byte) (int, error) {
	n, err := r.conn.raw.Read(p)
	r.conn.memory.Progress(n, clock.Now())
	return n, err
}

// openReader sets the read buffer unless there is one.
func (c *serverConn) openReader() {
	if c.reader == nil {
		c.reader = readers.Get().(*bufio.Reader)
		c.reader.Reset(input{c})
	}
}

// releaseReader gives up the read buffer unless bytes of the next request are in it.
func (c *serverConn) releaseReader() {
	if c.buffered() > 0 {
		return
	}
	if c.reader != nil && c.reader.Size() == readerSize {
		c.reader.Reset(nil)
		readers.Put(c.reader)
	}
	c.reader = nil
}

// buffered returns the number of bytes in the read buffer.
func (c *serverConn) buffered() int {
	if c.reader == nil {
		return 0
	}
	return c.reader.Buffered()
}

// growReader doubles the read buffer and keeps what it holds. It returns false if there is no memory for it.
func (c *serverConn) growReader() bool {
	size := 2 * c.reader.Size()
	if !c.reserve(int64(size)) {
		return false
	}
	// The buffer's content is copied: reads into the new one may not overlap with it.
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails: it asks for no more than is there
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), input{c})
	c.reader = bufio.NewReaderSize(rest, size)
	return true
}

// reserve reserves n bytes for the present request and reports whether there is room.
func (c *serverConn) reserve(n int64) bool {
	if !c.memory.Reserve(n, clock.Now()) {
		return false
	}
	c.held += n
	return true
}

func (c *serverConn) unreserve(n int64) {
	c.memory.Release(n)
	c.held -= n
}

// release returns all that is reserved for the present request.
func (c *serverConn) release() { c.unreserve(c.held) }

// awaitInput waits until there is input to read. It reads none, so that a connection that waits needs no buffer. It returns
// io.EOF if the caller has closed the connection.
func (c *serverConn) awaitInput() error {
	if c.buffered() > 0 {
		return nil
	}
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		c.openReader()
		_, err := c.reader.Peek(1)
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		for {
			n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			switch {
			case errors.Is(err, unix.EINTR):
				continue
			case errors.Is(err, unix.EAGAIN):
				return false // waits until there is input
			case err == nil && n == 0:
				result = io.EOF
			default:
				result = err
			}
			return true
		}
	})
	return errors.CombineErrors(err, result)
}
