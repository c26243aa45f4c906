package connend

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"egretramp/internal/connend/connendtest"
)

// pair returns both sides of a TCP connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = c.Close(), accepted.Close() })
	return c.(*net.TCPConn), accepted.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

const request = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody"

// TestConn_ResetThatAWriteTookLooksOrderly guards against the end of a part that looks like that of a whole response: the write that
// fails takes the socket's error with it. The write may have returned before the read that sees the end, or return after it.
func TestConn_ResetThatAWriteTookLooksOrderly(t *testing.T) {
	for name, writes := range map[string]func(c *Conn, near *net.TCPConn){
		"before the read": func(c *Conn, near *net.TCPConn) { // the first write takes the error, the second one gets EPIPE
			require.Eventually(t, func() bool { _, err := c.Write([]byte("x")); return errors.Is(err, syscall.EPIPE) }, 5*time.Second, time.Millisecond)
		},
		"while the read goes on": func(c *Conn, _ *net.TCPConn) { go func() { _, _ = io.WriteString(c, request) }() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			c := New(connendtest.NewConn(near))
			if name == "before the read" {
				c = New(near)
			}
			_, err := io.WriteString(far, "part")
			require.NoError(t, err)
			reset(far)
			writes(c, near)
			got, err := io.ReadAll(c)
			require.Equal(t, "part", string(got))

			require.ErrorIs(t, err, syscall.ECONNRESET)
			_, err = c.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ECONNRESET, "a further read")
		})
	}
}

// TestConn_ResetThatAReadTakes guards against a reset that looks orderly because no write has failed.
func TestConn_ResetThatAReadTakes(t *testing.T) {
	near, far := pair(t)
	reset(far)
	_, err := New(near).Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestConn_OrderlyEndLooksBroken guards against whole responses that fail because their sender takes no more of the request: it ends
// in order and reads no further, or resets the connection after that.
func TestConn_OrderlyEndLooksBroken(t *testing.T) {
	for name, end := range map[string]func(far *net.TCPConn){
		"reads nothing":  func(far *net.TCPConn) { _ = far.CloseWrite() },
		"reads all":      func(far *net.TCPConn) { _ = far.CloseWrite(); go func() { _, _ = io.Copy(io.Discard, far) }() },
		"resets after":   func(far *net.TCPConn) { _ = far.CloseWrite(); reset(far) },
		"closes at once": func(far *net.TCPConn) { _ = far.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			c := New(near)
			_, err := io.WriteString(far, "whole")
			require.NoError(t, err)
			end(far)
			var writeErr atomic.Pointer[error]
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, err := c.Write(make([]byte, 64<<20))
				writeErr.Store(&err)
			}()
			if name != "reads nothing" { // else the write is blocked
				<-written
			}
			began := time.Now()
			got, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Equal(t, "whole", string(got))
			require.Less(t, time.Since(began), 5*time.Second, "the write is blocked for good")
			<-written
			if name == "reads nothing" {
				require.ErrorIs(t, *writeErr.Load(), os.ErrDeadlineExceeded)
			}
		})
	}
}

// stubConn fails writes with an error and then ends.
type stubConn struct {
	net.Conn
	err error
}

func (c stubConn) Write([]byte) (int, error)        { return 0, c.err }
func (c stubConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c stubConn) SetWriteDeadline(time.Time) error { return nil }

// TestConn_LostPacketsLookOrderly guards against ends that look orderly after the errors of other sockets than reset ones, and against
// those that look broken though the writes' errors tell nothing about the end.
func TestConn_LostPacketsLookOrderly(t *testing.T) {
	for _, c := range []struct {
		err    error
		broken bool
	}{
		{syscall.ECONNRESET, true}, {syscall.ETIMEDOUT, true}, {syscall.EHOSTUNREACH, true}, {syscall.ENETUNREACH, true}, {syscall.ECONNABORTED, true},
		{syscall.EPIPE, false}, {os.ErrDeadlineExceeded, false}, {io.ErrClosedPipe, false},
	} {
		conn := New(stubConn{err: &net.OpError{Op: "write", Err: c.err}})
		_, _ = conn.Write([]byte("x"))
		_, err := conn.Read(nil)
		require.Equal(t, c.broken, !errors.Is(err, io.EOF), "%v: %v", c.err, err)
	}
}
