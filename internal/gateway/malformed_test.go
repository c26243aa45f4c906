package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"egretramp/internal/refusal"
)

// listenFor serves a handler on a loopback listener wrapped by Listener and returns its address.
func listenFor(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: h, MaxHeaderBytes: 4096}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(Listener(l))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return l.Addr().String()
}

// exchangeRaw sends a raw request and reads one HTTP response.
func exchangeRaw(t *testing.T, address, request string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

func TestListener_MalformedHTTPIsRefusedAsJSON(t *testing.T) {
	address := listenFor(t, http.HandlerFunc(notFound))
	for name, c := range map[string]struct {
		request string
		status  int
		code    string
	}{
		"not HTTP":             {"hello\r\n\r\n", http.StatusBadRequest, "bad_http"},
		"two hosts":            {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", http.StatusBadRequest, "bad_http"},
		"no host":              {"GET / HTTP/1.1\r\n\r\n", http.StatusBadRequest, "bad_http"},
		"bad header":           {"GET / HTTP/1.1\r\nHost: a\r\nX Y: 1\r\n\r\n", http.StatusBadRequest, "bad_http"},
		"unknown version":      {"GET / HTTP/3.7\r\nHost: a\r\n\r\n", http.StatusHTTPVersionNotSupported, "bad_http"},
		"transfer encoding":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: zip\r\n\r\n", http.StatusNotImplemented, "bad_http"},
		"header too large":     {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, "headers_too_large"},
		"path without a route": {"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", http.StatusNotFound, "unknown_path"},
		"invalid path":         {"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest, "bad_http"},
		"two content lengths":  {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", http.StatusBadRequest, "bad_http"},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := exchangeRaw(t, address, c.request)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, "application/json", resp.Header.Get("Content-Type"))
			code, notRun := errorOf(t, body)
			require.Equal(t, c.code, code)
			require.Equal(t, refusal.True, notRun)
		})
	}
}

func TestListener_HandlerPlainTextIsUnchanged(t *testing.T) {
	const text = "HTTP/1.1 400 x\r\n" + plainErrorHeaders + "400 Bad Request"
	address := listenFor(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, text)
	}))
	resp, body := exchangeRaw(t, address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.Equal(t, text, body)
}
