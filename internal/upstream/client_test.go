package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"egretramp/internal/loopback"
	"egretramp/internal/upstream/wire"
)

// rawServer starts a TCP server that passes each connection to serve and counts the connections on
// which at least one byte was received.
func rawServer(t *testing.T, serve func(net.Conn)) (address string, requests *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	requests = &atomic.Int32{}
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serve(&countingConn{Conn: c, requests: requests})
		}
	})
	t.Cleanup(func() { _ = l.Close(); wg.Wait() })
	return l.Addr().String(), requests
}

// countingConn increments requests at the first read that returns data.
type countingConn struct {
	net.Conn
	requests *atomic.Int32
	counted  bool
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.counted {
		c.counted = true
		c.requests.Add(1)
	}
	return n, err
}

func (c *countingConn) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func post(t *testing.T, address string) error {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, endpoint(address, "/charge"), strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set(wire.HeaderAttempt, attempt)
	req.Header.Set(wire.HeaderIdempotency, "key") // net/http retries such requests on reused connections
	resp, err := NewClient().Do(req, nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	return err
}

func requireWritten(t *testing.T, err error, written bool) {
	t.Helper()
	var call *CallError
	require.True(t, errors.As(err, &call), "%v", err)
	require.Equal(t, written, call.Written)
}

func TestClient_RefusedDialIsNotWritten(t *testing.T) {
	address, err := loopback.Address()
	require.NoError(t, err)
	requireWritten(t, post(t, address), false)
}

func TestClient_WritesAtMostOnce(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: a1\r\n\r\n"
	for name, serve := range map[string]func(*countingConn){
		"reset before the request was read": func(c *countingConn) { c.reset() },
		"reset after the first byte":        func(c *countingConn) { _, _ = c.Read(make([]byte, 1)); c.reset() },
		"reset after the request":           func(c *countingConn) { _, _ = c.Read(make([]byte, 4096)); c.reset() },
		"closed after the request":          func(c *countingConn) { _, _ = c.Read(make([]byte, 4096)); _ = c.Close() },
		"incomplete response": func(c *countingConn) {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, answer[:20])
			c.reset()
		},
	} {
		t.Run(name, func(t *testing.T) {
			accepted := atomic.Int32{}
			address, requests := rawServer(t, func(c net.Conn) { accepted.Add(1); serve(c.(*countingConn)) })
			err := post(t, address)
			var call *CallError
			require.ErrorAs(t, err, &call)
			if !call.Written {
				// The reset may arrive before the transport gets the connection; the server must then
				// not have received anything.
				require.Equal(t, "reset before the request was read", name)
				require.Zero(t, requests.Load())
			}
			require.LessOrEqual(t, requests.Load(), int32(1))
			require.Equal(t, int32(1), accepted.Load(), "the request must not be retried on a second connection")
		})
	}
	address, requests := rawServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	})
	require.NoError(t, post(t, address))
	require.NoError(t, post(t, address))
	require.Equal(t, int32(2), requests.Load(), "each call uses its own connection")
}

func TestClient_ResponseOfAnotherAttempt(t *testing.T) {
	address, _ := rawServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Request-Id: other\r\n\r\n")
		_ = c.Close()
	})
	err := post(t, address)
	require.ErrorIs(t, err, ErrAttemptMismatch)
	requireWritten(t, err, true)
}

func TestClient_RedirectsAreNotFollowed(t *testing.T) {
	address, requests := rawServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 0\r\nX-Request-Id: a1\r\n\r\n")
		_ = c.Close()
	})
	require.NoError(t, post(t, address))
	require.Equal(t, int32(1), requests.Load())
}
