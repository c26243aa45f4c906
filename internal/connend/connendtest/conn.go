// Package connendtest makes races on real sockets certain, for tests of the end of connections.
package connendtest

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	pollInterval = 100 * time.Microsecond
	// maxWait bounds each wait for the other side.
	maxWait = 5 * time.Second
	// returnDelay is how long a Write that failed may wait for a Read to see the end.
	returnDelay = 100 * time.Millisecond
	// readDelay is how much later than such a Write a Read of a Conn that reads last returns.
	readDelay = 10 * time.Millisecond
)

// Conn is a client's TCP connection for one HTTP request, whose other side ends it before it has read all of the request. The last
// byte is written only after that, so a Write fails for certain, and no Read sees the end before.
type Conn struct {
	net.Conn
	readLast       bool // nothing is read before a Write has failed and returned
	left           int  // bytes of the request that are not written; -1 before the head
	written, ended signal
}

// signal is closed once all is written or a Write has failed, or once a Read has returned an error.
type signal struct {
	closed chan struct{}
	once   *sync.Once
}

func newSignal() signal { return signal{make(chan struct{}), &sync.Once{}} }

func (s signal) send() { s.once.Do(func() { close(s.closed) }) }

func (s signal) isSent() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// NewConn returns a Conn on a TCP connection that was not used yet. The Write that fails returns only after a Read has seen the end.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, left: -1, written: newSignal(), ended: newSignal()}
}

// NewConnReadLast returns a Conn of which nothing is read before a Write has failed and returned.
func NewConnReadLast(c net.Conn) *Conn {
	wrapped := NewConn(c)
	wrapped.readLast = true
	return wrapped
}

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, address string) (net.Conn, error)

// DialFirst returns a function whose first connection is what wrap makes of it. The others are those that dial opens.
func DialFirst(dial DialFunc, wrap func(net.Conn) *Conn) DialFunc {
	var dialed atomic.Bool
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err != nil || dialed.Swap(true) {
			return c, err
		}
		return wrap(c), nil
	}
}

// Dial opens a TCP connection.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Write implements net.Conn. The head of the request must be part of the first Write.
func (c *Conn) Write(p []byte) (int, error) {
	if c.left < 0 {
		c.left = requestSize(p)
	}
	early := len(p)
	if c.left == len(p) {
		early--
	}
	n, err := c.Conn.Write(p[:early])
	if err == nil && early < len(p) {
		if err = c.awaitHangup(); err == nil {
			var last int
			last, err = c.Conn.Write(p[early:])
			n += last
		}
	}
	c.left -= n
	if c.left == 0 || err != nil {
		c.written.send()
	}
	if err != nil && !c.readLast {
		select {
		case <-c.ended.closed:
		case <-time.After(returnDelay):
		}
	}
	return n, err
}

// requestSize returns the size in bytes of a request that states its length, if any, as Content-Length.
func requestSize(p []byte) int {
	head, _, _ := bytes.Cut(p, []byte("\r\n\r\n"))
	size := len(head) + len("\r\n\r\n")
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if http.CanonicalHeaderKey(string(name)) == "Content-Length" {
			length, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil {
				panic(err)
			}
			size += length
		}
	}
	return size
}

// awaitHangup waits until the other side has reset the connection.
func (c *Conn) awaitHangup() error {
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline); time.Sleep(pollInterval) {
		hungUp := false
		err := c.control(func(fd int) error {
			poll := []unix.PollFd{{Fd: int32(fd)}}
			_, err := unix.Poll(poll, 0)
			hungUp = poll[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
			return err
		})
		if hungUp || err != nil && !errors.Is(err, unix.EINTR) {
			return err
		}
	}
	return errors.New("connendtest: the other side did not end the connection")
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline); time.Sleep(pollInterval) {
		unread := 0
		err := c.control(func(fd int) (err error) {
			unread, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
			return err
		})
		if err != nil || unread > 0 && !c.readLast || c.written.isSent() {
			break
		}
	}
	if c.readLast {
		time.Sleep(readDelay)
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ended.send()
	}
	return n, err
}

// control calls a function with the socket's descriptor.
func (c *Conn) control(call func(fd int) error) error {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = call(int(fd)) })
	return errors.CombineErrors(err, callErr)
}
