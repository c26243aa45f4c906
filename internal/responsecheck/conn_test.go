package responsecheck

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestTransport_InvalidResponse guards against invalid responses that pass with TLS or on a connection that was used before.
func TestTransport_InvalidResponse(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw := "HTTP/1.1 200 OK\r\nO dd: v\r\nContent-Length: 0\r\n\r\n"
		if r.URL.Path == "/valid" {
			raw = "HTTP/1.1 200 OK\r\nOdd: v\r\nContent-Length: 0\r\n\r\n"
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, raw)
			_ = c.Close()
		}
	})
	plain, secure := httptest.NewServer(handler), httptest.NewTLSServer(handler)
	t.Cleanup(plain.Close)
	t.Cleanup(secure.Close)
	for url, config := range map[string]*tls.Config{plain.URL: nil, secure.URL: secure.Client().Transport.(*http.Transport).TLSClientConfig} {
		client := &http.Client{Transport: NewTransport(config)}
		for range 2 {
			response, err := client.Get(url + "/valid")
			require.NoError(t, err, url)
			require.Equal(t, "v", response.Header.Get("Odd"))
			require.NoError(t, response.Body.Close())
			_, err = client.Get(url + "/invalid")
			require.True(t, errors.Is(err, ErrInvalid), "%s: %v", url, err)
		}
	}
}

// TestTransport_ResetThatAWriteTookLooksOrderly guards against a part of a VM's answer that looks whole, with TLS or without, because a
// write that failed took the reset.
func TestTransport_ResetThatAWriteTookLooksOrderly(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\n\r\npart"
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, part)
		if secure, ok := c.(*tls.Conn); ok {
			c = secure.NetConn()
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	plain, secure := httptest.NewServer(handler), httptest.NewTLSServer(handler)
	t.Cleanup(plain.Close)
	t.Cleanup(secure.Close)
	for server, config := range map[*httptest.Server]*tls.Config{plain: nil, secure: secure.Client().Transport.(*http.Transport).TLSClientConfig} {
		transport := NewTransport(config)
		dial := transport.DialContext
		if config != nil {
			dial = transport.DialTLSContext
		}
		c, err := dial(context.Background(), "tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		got := make([]byte, len(part))
		_, err = io.ReadFull(c, got)
		require.NoError(t, err)
		for range 20 { // the first write after the reset has arrived takes the error, and the socket has none for the read
			_, err = c.Write([]byte("x"))
			require.NoError(t, err, "left to the read")
			time.Sleep(time.Millisecond)
		}
		_, err = c.Read(got)
		require.ErrorIs(t, err, syscall.ECONNRESET, "TLS: %v", config != nil)
	}
}
