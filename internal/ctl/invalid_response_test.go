package ctl

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRun_InvalidResponseOfAVM guards against a command that takes an answer with an invalid status or field name for a success.
func TestRun_InvalidResponseOfAVM(t *testing.T) {
	const body = `{"vms": []}`
	length, chunks := fmt.Sprintf("%d\r\n", len(body)), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for i, raw := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n" + body, // the only valid one
		"HTTP/1.1 000 Odd\r\nContent-Length: " + length + "\r\n" + body, "HTTP/1.1 00 Odd\r\n\r\n" + body, "HTTP/1.1 +20 Odd\r\n\r\n" + body,
		"HTTP/1.1 101 Odd\r\n\r\n" + body, "HTTP/1.1 600 Odd\r\n\r\n" + body, "HTTP/1.1 999 Odd\r\n\r\n" + body,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks, "HTTP/1.1 200 OK\r\nA: b\r\n\nContent-Length: " + length + "\r\n" + body,
		"HTTP/1.1 200 OK\r\nContent-Length\t: " + length + "\r\n" + body, "HTTP/1.1 200 OK\r\nO dd: v\r\nContent-Length: " + length + "\r\n" + body,
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, raw)
			}
		}()
		code, out, problem := run(t, "", "--admin", l.Addr().String(), "status")
		require.Equal(t, i == 0, code == ExitOK, "%q: %s", raw, out)
		require.Equal(t, i == 0, problem == "", "%q: %s", raw, problem)
		_ = l.Close()
	}
}
